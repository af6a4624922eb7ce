#ifndef CHICORYLINK_ROUTING_TARGET_STATE_HPP
#define CHICORYLINK_ROUTING_TARGET_STATE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/ejection.hpp"
#include "chicorylink/routing/load_report.hpp"
#include "chicorylink/routing/outcome.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace chicorylink::routing {

/// A report older than this says nothing about the present load.
inline constexpr base::milliseconds report_bound{2000};

/// @brief Whether a target takes new work, by the platform's list or its own report.
enum class target_availability { live, leaving };

/// @brief What is known at this VM of one target.
struct target_state {
    base::target_id id;
    std::uint32_t slots = 1;
    target_availability availability = target_availability::live;

    /// Running and waiting requests of the last report, and when that load was measured.
    std::uint32_t reported_load = 0;
    std::optional<base::time_point> reported_at;

    /// Requests from here that are not finished, and their tokens.
    std::uint32_t own_in_flight = 0;
    base::tokens own_tokens{};
    /// Tokens of prompts from here whose first token has not come.
    base::tokens own_prefill{};
    /// Requests sent minus requests finished from here since `reported_at`.
    std::int32_t own_since_report = 0;

    ejection_state ejection;
    std::optional<base::time_point> warm_since;

    /// Smoothed time to the first token, in microseconds for each token of the prompt.
    double first_token_pace = 0;
    /// Smoothed time of a whole request, in milliseconds.
    double service_ms = 0;
    std::uint32_t samples = 0;

    /// Changes of the own load by the time when they happened, to tell which of them a report
    /// that arrives late already contains.
    struct change {
        base::time_point at{};
        std::int32_t delta = 0;
    };
    static constexpr std::size_t recent_capacity = 32;
    std::array<change, recent_capacity> recent{};
    std::uint32_t recent_next = 0;
};

/// @brief Takes a load report over; one that is older than the last one is ignored.
void on_report(target_state& state, const load_report& report, base::time_point now);

/// @brief Notes that a request was sent from here.
/// @param cold The tokens of its prompt that the target is believed not to hold.
void on_sent(target_state& state, base::tokens work, base::tokens cold, base::time_point now);

/// @brief Notes that a request ended before its first token.
void on_prefill_dropped(target_state& state, base::tokens cold);

/// @brief Notes the time from the sending of a request to its first token.
void on_first_token(target_state& state, base::tokens cold, base::nanoseconds latency);

/// @brief Notes that a request from here ended. `judge_outcome` follows for its health.
void on_finished(target_state& state, base::tokens work, attempt_outcome outcome,
                 base::nanoseconds latency, base::time_point now);

/// @brief Notes that a target leaves or is live again; one that returns begins its warm-up.
void on_availability(target_state& state, target_availability next, base::time_point now);

/// @brief Whether the last report is recent enough to count.
[[nodiscard]] bool load_is_known(const target_state& state, base::time_point now);

/// @brief The number of requests believed to be at a target.
///
/// With a recent report: its load and the own work since. Without one the load is unknown: the
/// own requests times the VMs that share the target, and never less than `unknown_load`.
/// @param sharers VMs that send to the same targets; at least 1.
/// @param unknown_load What a target without a recent report is taken to carry.
[[nodiscard]] double estimated_load(const target_state& state, std::uint32_t sharers,
                                    double unknown_load, base::time_point now);

/// @brief Whether a target may be given new work at all: live and not ejected.
[[nodiscard]] bool takes_work(const target_state& state);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_TARGET_STATE_HPP
