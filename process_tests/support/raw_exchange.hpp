#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP

#include <chrono>
#include <string>

namespace chicorylink::process_tests {

/// @brief The bytes received for raw input that no HTTP library would send.
struct raw_response {
    std::string bytes;
    /// Whether the peer closed the connection within the timeout.
    bool closed = false;

    /// @brief The status of the first response; zero when there is none.
    [[nodiscard]] int status() const;
    /// @brief The number of responses received.
    [[nodiscard]] std::size_t response_count() const;
};

/// @brief Sends bytes on a new connection and reads until it is closed or the timeout expires.
/// @param address `IP:port`.
[[nodiscard]] raw_response exchange_raw(const std::string& address, const std::string& bytes,
                                        std::chrono::milliseconds timeout);

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP
