#ifndef CHICORYLINK_RULES_POLICY_HPP
#define CHICORYLINK_RULES_POLICY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/origin.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chicorylink::rules {

/// @brief The settings of a policy, for their origins.
enum class policy_setting : std::uint8_t {
    tail_weight,
    worst_team_weight,
    refusal_weight,
    sent_away_weight,
    stay_home,
};

inline constexpr std::size_t policy_setting_count = 5;

/// @brief The operators' weights for the measures that routing trades against each other.
///
/// Each weight is in hundredths: 100 is neutral, 200 counts double.
struct policy {
    std::uint32_t tail_weight = 100;
    std::uint32_t worst_team_weight = 100;
    std::uint32_t refusal_weight = 100;
    std::uint32_t sent_away_weight = 100;
    /// Queueing that a request accepts at home before another region is considered.
    base::milliseconds stay_home{100};
    /// Where each setting was given, by `policy_setting`; line 0 where it has its default.
    std::array<origin, policy_setting_count> sources{};
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_POLICY_HPP
