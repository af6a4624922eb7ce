#ifndef CHICORYLINK_FLEET_NEXT_STEP_HPP
#define CHICORYLINK_FLEET_NEXT_STEP_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/route.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief How one attempt ended without an answer for the caller.
enum class attempt_end {
    /// No byte of the request can have reached the other side.
    not_sent,
    /// The other side states that it did not run the request.
    rejected,
    /// The target ran it and answered with its own failure.
    failed,
    /// It may have run: the answer was lost, cut or spoiled.
    unknown,
};

/// @brief The attempts of one request so far, the one that just ended included.
struct attempt_history {
    /// Attempts whose bytes may have reached a target.
    std::uint32_t arrivals = 0;
    /// Attempts that ran or may have run.
    std::uint32_t runs = 0;
    /// Whether events of a stream were passed to the caller.
    bool has_begun = false;
    /// Whether another VM forwarded the request and decides about repeats itself.
    bool from_peer = false;
    /// Attempts in all, those included that never reached a target.
    std::uint32_t sends = 0;
};

/// @brief What comes after an attempt that gave no answer.
enum class next_step {
    send_again,
    /// Pass the target's own failure to the caller.
    pass_answer,
    /// Tell the caller that the request did not run.
    refuse,
    /// Tell the caller that its fate is unknown.
    fail,
    /// End the caller's connection so that what was passed can't look complete.
    cut,
};

/// Sends of one request in all, whatever the targets say; bounds the work of a request that is
/// rejected everywhere.
inline constexpr std::uint32_t max_arrivals = 4;

/// Attempts of one request in all: a region whose targets all refuse connections answers each
/// attempt at once, and the caller is told sooner than its deadline passes.
inline constexpr std::uint32_t max_sends = 8;

/// Less time than this is not enough for another attempt to be of use.
inline constexpr base::milliseconds shortest_attempt{50};

/// @brief Decides what comes next; the caller still needs an allowance for `send_again`.
[[nodiscard]] next_step decide_next(const route& asked, const attempt_history& history,
                                    attempt_end end, base::milliseconds time_left);

/// @brief What remains when `send_again` is not possible: no allowance or no target.
[[nodiscard]] next_step give_up(const attempt_history& history, attempt_end end);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_NEXT_STEP_HPP
