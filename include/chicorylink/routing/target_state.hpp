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

/// A report older than this is too old to show the current load.
inline constexpr base::milliseconds max_report_age{2000};

/// @brief Whether a target accepts new work, by the platform's list or its own report.
enum class target_availability { live, leaving };

/// @brief This VM's view of one target.
struct target_state {
    base::target_id id;
    std::uint32_t slots = 1;
    target_availability availability = target_availability::live;

    /// Running and waiting requests in the last report, and when they were measured.
    std::uint32_t reported_load = 0;
    std::optional<base::time_point> reported_at;

    /// Unfinished requests from this VM, and their tokens.
    std::uint32_t own_in_flight = 0;
    base::tokens own_tokens{};
    /// Prompt tokens of this VM's requests that still wait for their first token.
    base::tokens own_prefill{};
    /// This VM's sent minus finished requests since `reported_at`.
    std::int32_t own_since_report = 0;

    ejection_state ejection;
    std::optional<base::time_point> warming_since;

    /// Smoothed time to first token, in microseconds per prompt token.
    double first_token_pace = 0;
    /// Smoothed duration of a request, in milliseconds.
    double service_ms = 0;
    std::uint32_t samples = 0;

    /// Timestamped changes of this VM's load, to tell which of them a late report already
    /// includes.
    struct change {
        base::time_point at{};
        std::int32_t delta = 0;
    };
    static constexpr std::size_t recent_capacity = 32;
    std::array<change, recent_capacity> recent{};
    std::uint32_t recent_next = 0;
};

/// @brief Applies a load report; ignores one older than the last.
void on_report(target_state& state, const load_report& report, base::time_point now);

/// @brief Records that this VM sent a request.
/// @param uncached The prompt tokens that are probably not cached at the target.
void on_sent(target_state& state, base::tokens work, base::tokens uncached, base::time_point now);

/// @brief Records that a request ended before its first token.
void on_prefill_dropped(target_state& state, base::tokens uncached);

/// @brief Records the time from sending a request to its first token.
void on_first_token(target_state& state, base::tokens uncached, base::nanoseconds latency);

/// @brief Records that a request of this VM ended. `update_health` must be called afterwards.
void on_finished(target_state& state, base::tokens work, attempt_outcome outcome,
                 base::nanoseconds latency, base::time_point now);

/// @brief Sets whether a target is live or leaving; one that returns starts its warm-up.
void on_availability(target_state& state, target_availability next, base::time_point now);

/// @brief Whether the last report is recent enough to use.
[[nodiscard]] bool load_is_known(const target_state& state, base::time_point now);

/// @brief The estimated number of requests at a target.
///
/// With a recent report: the reported load plus this VM's requests since, and at least this VM's
/// own requests. Otherwise: this VM's requests times the number of VMs that share the target, and
/// at least `unknown_load`.
/// @param vm_count Number of VMs that send to the same targets; at least 1.
/// @param unknown_load Minimum load to assume for a target without a recent report.
[[nodiscard]] double estimated_load(const target_state& state, std::uint32_t vm_count,
                                    double unknown_load, base::time_point now);

/// @brief Whether a target accepts new work: it is live and its health allows it.
[[nodiscard]] bool takes_work(const target_state& state);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_TARGET_STATE_HPP
