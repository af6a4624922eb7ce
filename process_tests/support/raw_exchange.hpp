#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP

#include <chrono>
#include <string>

namespace chicorylink::process_tests {

/// @brief What came back for bytes that no HTTP library would send.
struct raw_answer {
    std::string bytes;
    /// Whether the other side closed the connection within the time.
    bool closed = false;

    /// @brief The status of the first answer; zero when there is none.
    [[nodiscard]] int status() const;
    /// @brief How many answers came.
    [[nodiscard]] std::size_t answers() const;
};

/// @brief Sends bytes on a new connection and reads until it is closed.
/// @param address `IP:port`.
[[nodiscard]] raw_answer exchange_raw(const std::string& address, const std::string& bytes,
                                      std::chrono::milliseconds longest);

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_EXCHANGE_HPP
