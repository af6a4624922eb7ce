#ifndef CHICORYLINK_RULES_POLICY_HPP
#define CHICORYLINK_RULES_POLICY_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::rules {

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
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_POLICY_HPP
