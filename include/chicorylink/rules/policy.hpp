#ifndef CHICORYLINK_RULES_POLICY_HPP
#define CHICORYLINK_RULES_POLICY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/origin.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chicorylink::rules {

/// @brief Indexes `policy::sources` by setting.
enum class policy_setting : std::uint8_t {
    tail_weight,
    worst_team_weight,
    refusal_weight,
    sent_away_weight,
    stay_home,
};

inline constexpr std::size_t policy_setting_count = 5;

/// @brief The operators' weights for the competing goals of routing.
///
/// Each weight is in hundredths: 100 is neutral, 200 counts double.
struct policy {
    std::uint32_t tail_weight = 100;
    std::uint32_t worst_team_weight = 100;
    std::uint32_t refusal_weight = 100;
    std::uint32_t sent_away_weight = 100;
    /// Queueing delay accepted in the home region before another region is considered.
    base::milliseconds stay_home{100};
    /// The origin of each setting, indexed by `policy_setting`; line 0 for a default.
    std::array<origin, policy_setting_count> sources{};
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_POLICY_HPP
