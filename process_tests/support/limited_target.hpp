#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_LIMITED_TARGET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_LIMITED_TARGET_HPP

#include "scripted_target.hpp"

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::process_tests {

/// @brief A target that may state a limit on the requests per second of all VMs, and records when
/// requests arrive.
class limited_target {
public:
    using clock = std::chrono::steady_clock;

    /// @param name The body of its responses.
    explicit limited_target(std::string name);

    /// @brief Sets the value that its responses state from now on; empty for none.
    void state_limit(std::string value);

    [[nodiscard]] const std::string& address() const { return m_target.address(); }
    [[nodiscard]] std::size_t arrivals_since(clock::time_point from);
    /// A sender, by the begin of its request ids, whose requests do not count for some time.
    struct excused_sender {
        std::string id_prefix;
        clock::time_point from;
        clock::time_point to;
    };

    /// @brief The most requests that arrived within a window that begins at `from` or later.
    [[nodiscard]] std::size_t most_arrivals(clock::duration window, clock::time_point from,
                                            const std::vector<excused_sender>& excused = {});
    /// @brief The arrivals since a time, one a line: milliseconds after it and the request's id.
    [[nodiscard]] std::string list_arrivals(clock::time_point from);
    /// @brief When a response first stated a limit.
    [[nodiscard]] std::optional<clock::time_point> first_stated_at();

private:
    struct arrival {
        clock::time_point at;
        std::string request_id;
    };

    bool respond(scripted_target::http_exchange& exchange);

    std::string m_name;
    std::mutex m_mutex;
    std::string m_limit;
    std::vector<arrival> m_arrivals;
    std::optional<clock::time_point> m_first_stated_at;
    scripted_target m_target;
};

/// @brief The promise to targets: most requests in `window` at a limit of `per_second`.
[[nodiscard]] std::size_t promised_arrivals(double per_second, std::chrono::seconds window);

/// The window of the promise, and how long after a target first stated its limit it holds.
inline constexpr std::chrono::seconds limit_window{4};
inline constexpr std::chrono::seconds limit_grace{5};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_LIMITED_TARGET_HPP
