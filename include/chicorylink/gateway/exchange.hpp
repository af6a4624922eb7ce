#ifndef CHICORYLINK_GATEWAY_EXCHANGE_HPP
#define CHICORYLINK_GATEWAY_EXCHANGE_HPP

#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/http_response.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::gateway {

/// @brief A caller's request and the response to it.
///
/// Request handling writes the response from any thread; the HTTP server reads it on its own
/// thread. The response is either complete or a stream. An aborted stream ends the caller's
/// connection without the end marker, so that it never looks complete.
class exchange {
public:
    /// The size at which a stream's buffer counts as full.
    static constexpr std::size_t stream_buffer_size = 256UL * 1024;

    /// @brief Result of reading from a stream.
    enum class read_state { data, wait, end, aborted };

    explicit exchange(std::uint64_t id) : m_id(id) {}

    /// @brief Unique within this process.
    [[nodiscard]] std::uint64_t id() const { return m_id; }

    /// @brief The request; filled in by the HTTP server before it is handled.
    [[nodiscard]] caller_request& request() { return m_request; }
    [[nodiscard]] const caller_request& request() const { return m_request; }

    /// @brief The id of the active request that handles this one; zero before it is known.
    [[nodiscard]] std::uint64_t owner() const { return m_owner; }
    void set_owner(std::uint64_t owner) { m_owner = owner; }

    /// @brief Sets a complete response. Ignored when a response has begun.
    /// @return Whether this call set the response.
    bool respond(http_response response);

    /// @brief Begins a streamed response. Ignored when a response has begun.
    /// @return Whether this call began it.
    bool begin(int status, header_list headers);

    /// @brief Appends to the streamed response.
    /// @return False when the buffer is full; `on_room` is called once it has room again.
    bool append(std::string_view piece);

    /// @brief Ends the streamed response cleanly.
    void finish();

    /// @brief Aborts the response so that the caller sees that it is incomplete.
    void abort();

    /// @brief Sets the callback, run on the server's thread, for when a full buffer has room again.
    void set_on_room(std::function<void()> on_room);

    [[nodiscard]] bool response_begun() const;
    [[nodiscard]] bool ended() const;

    /// @brief For the HTTP server: calls `suspend` and stores `wake`, which resumes the connection,
    /// unless the response has begun already.
    /// @return Whether the connection was suspended.
    bool suspend_for_head(const std::function<void()>& suspend, std::function<void()> wake);

    /// @brief For the HTTP server: the complete response, or empty when it is a stream.
    [[nodiscard]] const std::optional<http_response>& complete_response() const
    {
        return m_complete_response;
    }
    [[nodiscard]] int status() const { return m_status; }
    [[nodiscard]] const header_list& headers() const { return m_headers; }

    /// @brief For the HTTP server: moves up to `size` bytes of the stream to `out`. When none
    /// are available yet, calls `suspend` and stores `wake`, which is called once there are.
    read_state read(char* out, std::size_t size, std::size_t& count,
                    const std::function<void()>& suspend, std::function<void()> wake);

private:
    void wake_locked();

    const std::uint64_t m_id;
    std::atomic<std::uint64_t> m_owner{0};
    caller_request m_request;
    mutable std::mutex m_mutex;
    std::optional<http_response> m_complete_response;
    int m_status = 0;
    header_list m_headers;
    std::string m_buffer;
    std::size_t m_read_position = 0;
    bool m_begun = false;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_was_full = false;
    std::function<void()> m_wake;
    std::function<void()> m_on_room;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_EXCHANGE_HPP
