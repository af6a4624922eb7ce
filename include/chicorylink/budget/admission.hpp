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

/// @brief A request for admission.
struct admission_request {
    base::team_id team;
    /// Upper bound of the request's prompt and response tokens.
    base::tokens upper_bound;
    /// When admission was first requested; limits the wait for loans.
    base::time_point first_requested_at;
};

/// @brief The tokens are reserved and count as admitted from now on.
struct granted {
    reservation_id id;
};

/// @brief Tokens were requested from another VM: reserve again when the team is listed in
/// `effects::ready`, at the latest at `until`.
struct wait_for_loan {
    base::time_point until;
};

/// @brief Why a request was refused.
enum class refusal {
    /// This VM neither has nor could borrow enough of the team's fleet-wide budget.
    over_budget,
    /// The request exceeds the team's burst and can never be admitted.
    larger_than_burst,
    /// The team is unknown or may not run in this region.
    unknown_team,
    /// This process may not spend now: it is starting, leaving, or lost its membership.
    not_a_member,
};

/// @brief The request did not run and consumes no tokens.
struct refused {
    refusal reason = refusal::over_budget;
    /// Time after which tokens may be available; absent when waiting does not help.
    std::optional<base::nanoseconds> retry_after;
};

using admission = std::variant<granted, wait_for_loan, refused>;

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_ADMISSION_HPP
