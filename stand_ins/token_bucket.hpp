#ifndef CHICORYLINK_STAND_INS_TOKEN_BUCKET_HPP
#define CHICORYLINK_STAND_INS_TOKEN_BUCKET_HPP

#include <algorithm>
#include <chrono>

namespace chicorylink::stand_ins {

/// @brief Token bucket with a burst of one second's calls. Not thread-safe.
class token_bucket {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit token_bucket(double calls_per_second)
        : m_rate(calls_per_second), m_level(calls_per_second)
    {
    }

    /// @brief Takes a token for one call; false when none is left.
    [[nodiscard]] bool take(time_point now)
    {
        const std::chrono::duration<double> passed = now - m_refilled_at;
        m_level = std::min(m_rate, m_level + passed.count() * m_rate);
        m_refilled_at = now;
        if (m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_level;
    time_point m_refilled_at{};
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_TOKEN_BUCKET_HPP
