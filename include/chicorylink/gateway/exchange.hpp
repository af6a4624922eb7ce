#ifndef CHICORYLINK_GATEWAY_EXCHANGE_HPP
#define CHICORYLINK_GATEWAY_EXCHANGE_HPP

#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/http_answer.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::gateway {

/// @brief One caller's request and the answer on its way back.
///
/// The request path writes the answer from any thread; the HTTP server reads it on its own. The
/// answer is either whole or a stream. A stream that is broken off ends the caller's connection
/// without the end mark, so that it never looks complete.
class exchange {
public:
    /// The size at which a stream's buffer counts as full.
    static constexpr std::size_t stream_buffer_size = 256UL * 1024;

    /// @brief What the HTTP server finds when it asks for more of a stream.
    enum class read_state { data, wait, end, broken };

    explicit exchange(std::uint64_t id) : m_id(id) {}

    /// @brief A number that no other exchange of this process has.
    [[nodiscard]] std::uint64_t id() const { return m_id; }

    /// @brief The request; filled by the HTTP server before the request path sees it.
    [[nodiscard]] caller_request& request() { return m_request; }
    [[nodiscard]] const caller_request& request() const { return m_request; }

    /// @brief The number of the work that handles the request; zero before it is known.
    [[nodiscard]] std::uint64_t owner() const { return m_owner; }
    void set_owner(std::uint64_t owner) { m_owner = owner; }

    /// @brief Answers as a whole. Ignored when an answer has begun.
    /// @return Whether this call gave the answer.
    bool answer(http_answer whole);

    /// @brief Begins a streamed answer. Ignored when an answer has begun.
    /// @return Whether this call began it.
    bool begin(int status, header_list headers);

    /// @brief Adds to the streamed answer.
    /// @return False when the buffer is full; then `on_room` is called once there is room again.
    bool append(std::string_view piece);

    /// @brief Ends the streamed answer cleanly.
    void finish();

    /// @brief Ends the answer so that the caller sees it broken.
    void break_off();

    /// @brief Sets what is called, on the server's thread, when a full buffer has room again.
    void set_on_room(std::function<void()> on_room);

    [[nodiscard]] bool answer_begun() const;
    [[nodiscard]] bool ended() const;

    /// @brief For the HTTP server: remembers how to wake the suspended connection, unless the
    /// answer's head is there already.
    /// @return Whether the connection shall be suspended now.
    bool suspend_for_head(const std::function<void()>& suspend, std::function<void()> wake);

    /// @brief For the HTTP server: the whole answer, or empty when the answer is a stream.
    [[nodiscard]] const std::optional<http_answer>& whole() const { return m_whole; }
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] const header_list& headers() const { return m_headers; }

    /// @brief For the HTTP server: moves up to `size` bytes of the stream to `out`. When there are
    /// none yet, calls `suspend` and keeps `wake` for when there are.
    read_state read(char* out, std::size_t size, std::size_t& count,
                    const std::function<void()>& suspend, std::function<void()> wake);

private:
    void wake_locked();

    const std::uint64_t m_id;
    std::atomic<std::uint64_t> m_owner{0};
    caller_request m_request;
    mutable std::mutex m_mutex;
    std::optional<http_answer> m_whole;
    int m_status = 0;
    header_list m_headers;
    std::string m_buffer;
    std::size_t m_read_position = 0;
    bool m_begun = false;
    bool m_finished = false;
    bool m_broken = false;
    bool m_was_full = false;
    std::function<void()> m_wake;
    std::function<void()> m_on_room;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_EXCHANGE_HPP
