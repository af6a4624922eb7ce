#ifndef CHICORYLINK_FLEET_NEXT_STEP_HPP
#define CHICORYLINK_FLEET_NEXT_STEP_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/route.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief How an attempt without a usable response ended.
enum class attempt_end {
    /// No byte of the request can have reached the receiver.
    not_sent,
    /// The receiver states that it did not run the request.
    rejected,
    /// The target ran the request and answered with an error of its own.
    failed,
    /// The request may have run: the response was lost, truncated or malformed.
    unknown,
};

/// @brief Counts of the attempts of one request, including the one that just ended.
struct attempt_history {
    /// Attempts of which some bytes may have reached a target.
    std::uint32_t arrivals = 0;
    /// Attempts that ran or may have run.
    std::uint32_t runs = 0;
    /// Whether the caller received a part of a response.
    bool has_begun = false;
    /// Whether another VM forwarded the request; that VM decides about retries.
    bool from_peer = false;
    /// All attempts, including those that never reached a target.
    std::uint32_t sends = 0;
    /// Whether another target can continue the begun response: it is a stream whose last event has
    /// an id.
    bool can_continue = false;
};

/// @brief What to do after an attempt without a usable response.
enum class next_step {
    send_again,
    /// Pass the target's error to the caller.
    pass_response,
    /// Tell the caller that the request did not run.
    refuse,
    /// Tell the caller that the request may have run.
    fail,
    /// Close the caller's connection so that the partial response can't look complete.
    abort_stream,
};

/// Limit of attempts that may have reached a target, whatever the targets respond; bounds the work
/// for a request that every target rejects.
inline constexpr std::uint32_t max_arrivals = 4;

/// Limit of all attempts of one request. When all targets of a region refuse connections, each
/// attempt fails at once; the limit lets the caller hear of it before its deadline.
inline constexpr std::uint32_t max_sends = 8;

/// With less time left, another attempt is of no use.
inline constexpr base::milliseconds min_attempt_time{50};

/// @brief Decides the next step. `send_again` also needs room in the retry budget, which the caller
/// of this function checks.
[[nodiscard]] next_step decide_next(const route& request_route, const attempt_history& history,
                                    attempt_end end, base::milliseconds time_left);

/// @brief The next step when no retry is possible, for lack of retry budget or of a target.
[[nodiscard]] next_step give_up(const attempt_history& history, attempt_end end);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_NEXT_STEP_HPP
