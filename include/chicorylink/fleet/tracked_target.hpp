#ifndef CHICORYLINK_FLEET_TRACKED_TARGET_HPP
#define CHICORYLINK_FLEET_TRACKED_TARGET_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt_cache.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/target_entry.hpp"
#include "chicorylink/fleet/target_health.hpp"
#include "chicorylink/fleet/target_pushback.hpp"
#include "chicorylink/scheduling/prefill_budget.hpp"
#include "chicorylink/scheduling/start_window.hpp"
#include "chicorylink/scheduling/target_speed.hpp"
#include "chicorylink/scheduling/token_pace.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Load of another VM at a target, by its last heartbeat.
struct peer_use {
    std::string ip;
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    base::time_point reported_at{};
};

using scheduling::urgency_levels;

/// @brief Prompt tokens that an engine is assumed to read per millisecond.
inline constexpr double default_prompt_tokens_per_ms = 60.0;

/// @brief Places at a target that this VM reserved as coordinator for the VMs of its region.
struct reserved_use {
    std::uint32_t in_flight = 0;
    /// Prompt tokens of the requests that have not begun, by urgency.
    std::array<std::uint64_t, urgency_levels> unread_tokens{};
    std::array<std::uint32_t, urgency_levels> unread_requests{};
    /// Earliest due time of those requests; none when nothing is waiting.
    std::optional<base::time_point> first_due;
    /// Time of the last begin of a reserved request.
    base::time_point begun_at{};
};

/// @brief Load of all other VMs of the region at a target.
struct others_use {
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    base::time_point reported_at{};
};

/// @brief The load that a target reported with a response.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::time_point reported_at{};
};

/// @brief All state that a process keeps of one target of its region.
struct tracked_target {
    target_entry entry;
    base::target_id id;
    data_center_hash data_center;
    bool is_engine = false;
    /// Whether the target's data center is evacuated.
    bool evacuated = false;
    /// Another target answered at this one's address; unusable until its entry changes.
    bool displaced = false;
    base::time_point cold_until{};
    /// How long targets of this service are cold after a start.
    base::milliseconds cold_time{0};
    target_health health;
    /// What the target asked of VMs with its responses.
    target_pushback pushback;

    /// Unfinished requests of this VM, and prompt tokens of those that have not begun.
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    std::vector<peer_use> peer_loads;
    /// Load of the other VMs by the sum that a delegate reported.
    others_use region;
    /// What this VM reported in its last two heartbeats; a delegate's sum contains the older one.
    others_use last_report;
    others_use previous_report;
    /// Kept only while this VM is its region's coordinator.
    reserved_use reserved;
    reported_load load;
    /// Smoothed unread tokens per request of this VM, and those sent since the reported load.
    double mean_unread = 0;
    std::uint64_t unread_since_load = 0;
    /// When the target last sent any bytes.
    base::time_point last_bytes_at{};
    /// Smoothed time to a complete response of a plain service, in milliseconds.
    double response_ms = 0;
    /// What the target stated about its times; what was learned of them, only at the coordinator.
    scheduling::target_speed speed;
    /// Limit on reserved requests while the target is starting or returning.
    scheduling::start_window window;
    /// Whether it may have been cold when the windows were last updated.
    bool was_cold = false;
    prompt_cache cache;
    /// Prompt tokens per millisecond that it can fetch from another engine's cache; 0 if it can't.
    double fetch_tokens_per_ms = 0;
    /// When the transfers that this VM placed on the engine's link end.
    base::time_point link_free_at{};
    /// Output tokens that an event of its streams holds; 0 if unknown.
    std::uint32_t tokens_per_event = 0;
    /// Prompts that this VM placed at the engine as coordinator.
    scheduling::prefill_budget prefill;
    /// Tokens of running streams of all VMs of the region, if this VM is the coordinator.
    scheduling::token_pace pace;
};

/// @brief Whether a target may get requests at all.
[[nodiscard]] inline bool takes_work(const tracked_target& target)
{
    return !target.entry.leaving && !target.pushback.leaving && !target.evacuated &&
           !target.displaced;
}

/// @brief The sum of the loads that the other VMs reported directly to this one.
[[nodiscard]] others_use reported_by_peers(const tracked_target& target, base::time_point now);

/// @brief Whether a target can take only few requests: it is cold, or may be, because it was
/// unreachable or unresponsive before.
[[nodiscard]] inline bool may_be_cold(const tracked_target& target, base::time_point now)
{
    return now < target.cold_until || target.health.may_have_restarted;
}

/// @brief Estimated number of requests of all VMs at a target.
[[nodiscard]] std::uint32_t total_in_flight(const tracked_target& target, base::time_point now);

/// @brief Reserved prompt tokens that a target is expected to read before a new request of an
/// urgency: those at least as urgent, the prompt being read, and as many more urgent tokens to come
/// as there are now.
[[nodiscard]] std::uint64_t reserved_tokens_before(const tracked_target& target,
                                                   std::uint8_t urgency);

/// @brief Estimated prompt tokens of all VMs' requests that a target has yet to read.
[[nodiscard]] std::uint64_t total_unread_tokens(const tracked_target& target, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TRACKED_TARGET_HPP
