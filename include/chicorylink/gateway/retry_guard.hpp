#ifndef CHICORYLINK_GATEWAY_RETRY_GUARD_HPP
#define CHICORYLINK_GATEWAY_RETRY_GUARD_HPP

#include <mutex>

namespace chicorylink::gateway {

/// @brief Keeps retries below a tenth of the first attempts of this VM, plus a small reserve.
class retry_guard {
public:
    /// @brief Counts a request's first attempt.
    void on_first_attempt();

    /// @brief Takes the right to one retry.
    /// @return False when the retries are used up.
    [[nodiscard]] bool take();

private:
    static constexpr double retries_per_attempt = 0.1;
    static constexpr double reserve = 10.0;

    std::mutex m_mutex;
    double m_rights = reserve;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_RETRY_GUARD_HPP
