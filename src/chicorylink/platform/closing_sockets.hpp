#ifndef CHICORYLINK_PLATFORM_CLOSING_SOCKETS_HPP
#define CHICORYLINK_PLATFORM_CLOSING_SOCKETS_HPP

#include <string>
#include <string_view>
#include <vector>

#include <curl/curl.h>

namespace chicorylink::platform {

/// @brief What became of the bytes that were on their way when a connection ended.
enum class close_state {
    /// The remote end has not acknowledged all of them yet.
    pending,
    /// It has, or no reset came for some time, or the socket is not known.
    closed,
    /// It reset the connection.
    reset,
};

/// @brief Keeps the sockets that libcurl closes until it is known whether a reset follows.
///
/// libcurl takes the remote end's close for the end of a response without a length, also while the
/// request is still on its way. A process that is gone answers the rest of it with a reset; one
/// that closed in order goes on reading.
class closing_sockets {
public:
    closing_sockets() = default;
    ~closing_sockets();
    closing_sockets(const closing_sockets&) = delete;
    closing_sockets& operator=(const closing_sockets&) = delete;
    closing_sockets(closing_sockets&&) = delete;
    closing_sockets& operator=(closing_sockets&&) = delete;

    /// @brief The close callback of libcurl for the connections of a `closing_sockets`, which keeps
    /// the socket until the next `close_others`.
    static int on_close(void* self, curl_socket_t socket);

    /// @brief Sends one more byte of a request that libcurl has stopped to send, which shows
    /// whether the remote end still takes it.
    void probe(std::string_view local_address, char next_byte);

    /// @brief Checks the socket with a local address, `IP:port`, and closes it unless it is
    /// pending. To be called about every `check_interval_ms`.
    [[nodiscard]] close_state check(std::string_view local_address);

    /// @brief Closes all sockets but those with these local addresses.
    void close_others(const std::vector<std::string>& local_addresses);

    static constexpr int check_interval_ms = 5;

private:
    struct entry {
        int socket = -1;
        std::string local_address;
        int checks_left = 0;
        bool is_reset = false;
    };

    [[nodiscard]] std::vector<entry>::iterator find(std::string_view local_address);

    std::vector<entry> m_entries;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_CLOSING_SOCKETS_HPP
