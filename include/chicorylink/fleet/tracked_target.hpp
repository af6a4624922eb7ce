#ifndef CHICORYLINK_FLEET_TRACKED_TARGET_HPP
#define CHICORYLINK_FLEET_TRACKED_TARGET_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt_cache.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/target_entry.hpp"
#include "chicorylink/fleet/target_health.hpp"
#include "chicorylink/fleet/target_restraint.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What another VM has at a target, by its last heartbeat.
struct peer_use {
    std::string ip;
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    base::time_point told_at{};
};

/// Urgencies of a request at an engine, which reads those with the lowest number first.
inline constexpr std::size_t urgency_levels = 10;

/// @brief Places that this VM's desk gave to its region's VMs at a target.
struct reserved_use {
    std::uint32_t in_flight = 0;
    /// Prompt tokens of those that have not begun, by urgency.
    std::array<std::uint64_t, urgency_levels> unread_tokens{};
    std::array<std::uint32_t, urgency_levels> unread_requests{};
    /// When the first of those should have begun; none when nothing is waiting.
    std::optional<base::time_point> first_due;
    /// When a reserved request last began.
    base::time_point begun_at{};
};

/// @brief What all other VMs of the region have at a target.
struct others_use {
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    base::time_point told_at{};
};

/// @brief The load that a target told with an answer.
struct reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::time_point told_at{};
};

/// @brief All that a process knows of one target of its region.
struct tracked_target {
    target_entry entry;
    base::target_id id;
    data_center_mark data_center;
    bool is_engine = false;
    /// Whether its data center is evacuated.
    bool evacuated = false;
    /// Another target answered at its address; unusable until its entry changes.
    bool displaced = false;
    base::time_point cold_until{};
    /// How long targets of its service are cold after a start.
    base::milliseconds cold_time{0};
    target_health health;
    /// What it asked for itself with its answers.
    target_restraint restraint;

    /// Requests from here that are not finished, and prompt tokens of those that have not begun.
    std::uint32_t in_flight = 0;
    std::uint32_t unread_tokens = 0;
    std::vector<peer_use> others;
    /// The same as summed up by a delegate.
    others_use region;
    /// What this VM told of itself in its last heartbeats; a delegate's sum holds the older one.
    others_use told_last;
    others_use told_before;
    /// Kept only where this VM is its region's desk.
    reserved_use reserved;
    reported_load load;
    /// Smoothed unread tokens of a request from here, and those sent since the reported load.
    double mean_unread = 0;
    std::uint64_t unread_since_load = 0;
    /// The last time that any byte came from it.
    base::time_point last_sign{};
    /// Smoothed time of a whole answer of a plain service, in milliseconds.
    double answer_ms = 0;
    prompt_cache cache;
};

/// @brief Whether a target may be given work at all.
[[nodiscard]] inline bool takes_work(const tracked_target& target)
{
    return !target.entry.leaving && !target.restraint.leaving && !target.evacuated &&
           !target.displaced;
}

/// @brief The sum of what the other VMs told this one themselves.
[[nodiscard]] others_use told_by_members(const tracked_target& target, base::time_point now);

/// @brief Whether a target bears only few requests: it is cold, or it may be, since it could not
/// be reached before.
[[nodiscard]] inline bool may_be_cold(const tracked_target& target, base::time_point now)
{
    return now < target.cold_until || target.health.may_have_restarted;
}

/// @brief Requests of all VMs that are believed to be at a target.
[[nodiscard]] std::uint32_t total_in_flight(const tracked_target& target, base::time_point now);

/// @brief Reserved prompt tokens that a target is expected to read before a new request of an
/// urgency: those at least as urgent, the prompt that it is reading, and as many more urgent ones
/// to come as there are.
[[nodiscard]] std::uint64_t reserved_tokens_before(const tracked_target& target,
                                                   std::uint8_t urgency);

/// @brief Prompt tokens of all VMs' requests that a target has yet to read.
[[nodiscard]] std::uint64_t total_unread_tokens(const tracked_target& target, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TRACKED_TARGET_HPP
