#ifndef CHICORYLINK_BUDGET_ADMISSION_HPP
#define CHICORYLINK_BUDGET_ADMISSION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace chicorylink::budget {

struct reservation_tag;
using reservation_id = base::strong_id<reservation_tag>;

/// @brief A request that wants to be admitted.
struct ask {
    base::team_id team;
    /// Upper bound of its prompt and answer tokens.
    base::tokens upper_bound;
    /// When it was first asked for; bounds the wait for loans.
    base::time_point first_asked;
};

/// @brief The tokens are reserved and count from now on.
struct granted {
    reservation_id id;
};

/// @brief Tokens were asked for from another VM: ask again when the team is among
/// `effects::ready`, and at the latest at `until`.
struct wait_for_loan {
    base::time_point until;
};

/// @brief Why a request was refused.
enum class refusal {
    /// The fleet-wide budget that can reach this VM is spent.
    over_budget,
    /// The request is larger than the team's whole burst: it can never be admitted.
    larger_than_burst,
    /// The team is unknown or may not run in this region.
    unknown_team,
    /// This process may not spend now: it is starting, leaving, or lost its membership.
    not_a_member,
};

/// @brief The request did not run and takes no tokens.
struct refused {
    refusal reason = refusal::over_budget;
    /// After which tokens can be there; absent when waiting won't help.
    std::optional<base::nanoseconds> retry_after;
};

using admission = std::variant<granted, wait_for_loan, refused>;

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_ADMISSION_HPP
