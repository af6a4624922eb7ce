#ifndef CHICORYLINK_FLEET_RATE_PACER_HPP
#define CHICORYLINK_FLEET_RATE_PACER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/rate_limit.hpp"

#include <algorithm>
#include <map>

namespace chicorylink::fleet {

/// Requests of this much time may be sent at once. Demand is uneven; without a burst the rate that
/// a target takes would go unused between two peaks.
inline constexpr base::milliseconds pacing_burst{250};

/// Entries that were due so long ago have no effect any more.
inline constexpr base::milliseconds pacing_retention{60'000};

/// @brief Spaces the requests of each key evenly, with a short burst at higher rates.
template <class Key>
class rate_pacer {
public:
    /// @param first_send_at Until then nothing is allowed.
    explicit rate_pacer(base::time_point first_send_at = {}) : m_first_send_at(first_send_at) {}

    /// @brief Whether one more request may be sent now.
    [[nodiscard]] bool allows(const Key& key, double per_second, base::time_point now) const
    {
        if (now < m_first_send_at) {
            return false;
        }
        const auto due = m_due_at.find(key);
        const auto burst =
            std::max(pacing_burst - request_interval(per_second), base::milliseconds{0});
        return due == m_due_at.end() || now + burst >= due->second;
    }

    /// @brief Records that a request is sent.
    void note_sent(const Key& key, double per_second, base::time_point now)
    {
        std::erase_if(m_due_at,
                      [&](const auto& entry) { return now - entry.second > pacing_retention; });
        auto& due = m_due_at.try_emplace(key, now).first->second;
        due = std::max(due, now) + request_interval(per_second);
    }

private:
    base::time_point m_first_send_at;
    /// When the next request of each key is due at an even spacing.
    std::map<Key, base::time_point> m_due_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RATE_PACER_HPP
