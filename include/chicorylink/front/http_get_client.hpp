#ifndef CHICORYLINK_FRONT_HTTP_GET_CLIENT_HPP
#define CHICORYLINK_FRONT_HTTP_GET_CLIENT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_head.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

class tcp_channel;

/// @brief The result of a GET request.
struct read_result {
    /// The HTTP status; zero when no complete response arrived in time.
    int status = 0;
    std::string body;
    /// Why the request failed, for the log.
    std::string problem;
    /// Whether a response arrived that is malformed or too large.
    bool is_unreadable = false;
    /// When the request was sent.
    base::time_point sent_at{};
    /// Header fields of a complete response.
    header_fields fields;
};

/// @brief Sends GET requests to one address, one at a time, over a persistent connection.
class http_get_client {
public:
    using completion = std::function<void(const read_result&)>;

    http_get_client(boost::asio::io_context& loop, std::string address);
    ~http_get_client();
    http_get_client(const http_get_client&) = delete;
    http_get_client& operator=(const http_get_client&) = delete;
    http_get_client(http_get_client&&) = delete;
    http_get_client& operator=(http_get_client&&) = delete;

    /// @brief Sends a GET request. A connection is closed if no response begins within `limit`, or
    /// if its body stalls.
    void get(std::string_view target, base::milliseconds limit, completion on_done);

    [[nodiscard]] bool is_busy() const { return static_cast<bool>(m_on_done); }
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    void set_time_limit(base::milliseconds limit);
    void send(const std::string& bytes);
    void on_data(std::string_view bytes);
    void complete(const read_result& result);
    void close();

    boost::asio::io_context& m_loop;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    std::shared_ptr<tcp_channel> m_channel;
    std::unique_ptr<message_parser> m_parser;
    completion m_on_done;
    base::time_point m_sent_at{};
    std::optional<base::time_point> m_body_begun_at;
    /// Number of the current request; callbacks of abandoned requests are ignored.
    std::uint64_t m_request_number = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_HTTP_GET_CLIENT_HPP
