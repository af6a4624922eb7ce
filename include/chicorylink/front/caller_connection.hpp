#ifndef CHICORYLINK_FRONT_CALLER_CONNECTION_HPP
#define CHICORYLINK_FRONT_CALLER_CONNECTION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_parser.hpp"
#include "chicorylink/front/resolution.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::front {

class exchange;
struct front_core;

/// @brief Who opened a connection to this VM.
enum class connection_side { caller, peer };

/// @brief A connection that a caller or another VM opened; serves one request after the other.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(front_core& core, std::shared_ptr<tcp_channel> channel, connection_side side);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    /// @param on_closed Called once, when the connection has ended.
    void start(std::function<void()> on_closed);

    /// @brief Begins an answer. Without a length its body goes out in chunks.
    void begin_answer(int status, std::string_view reason, const header_fields& fields,
                      std::optional<std::uint64_t> length);
    void send_body(std::string_view piece);
    void end_answer();

    /// @brief Ends the connection so that what was sent can't look complete.
    void cut_answer();

    /// @brief Answers with a refusal or failure of the gateway's own.
    /// @param outcome What a forwarding VM may tell its caller: `not_run` or `unknown`.
    void refuse(const refusal& why, std::string_view outcome);

    /// @brief Bytes of the answer that the caller has not taken yet.
    [[nodiscard]] std::size_t unsent() const { return m_channel->unsent(); }

    /// @brief Closes the connection when it is idle for too long, or idle while the VM leaves.
    void tick(base::time_point now);

    /// @brief Whether the process would cut something off if it ended now: a request that is being
    /// served or read, one that is expected on a new connection, or an answer not yet sent.
    [[nodiscard]] bool is_busy(base::time_point now) const;

    [[nodiscard]] const std::shared_ptr<tcp_channel>& channel() const { return m_channel; }

    /// @brief Ends the connection whatever it is doing.
    void close();

private:
    void on_data(std::string_view bytes);
    void on_end();
    void on_sent();
    void begin_request();
    void reject_unreadable();
    void next_request();
    [[nodiscard]] bool keeps_open() const;
    void closed();
    void new_parser();

    front_core& m_core;
    std::shared_ptr<tcp_channel> m_channel;
    connection_side m_side;
    std::function<void()> m_on_closed;
    std::unique_ptr<message_parser> m_parser;
    std::shared_ptr<exchange> m_exchange;
    /// Bytes that came while a request is served; the beginning of the next one.
    std::string m_early;
    /// When the first byte of the present request came, or the last answer ended.
    base::time_point m_since{};
    bool m_has_asked = false;
    bool m_in_chunks = false;
    bool m_asked_to_close = false;
    bool m_is_closed = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CALLER_CONNECTION_HPP
