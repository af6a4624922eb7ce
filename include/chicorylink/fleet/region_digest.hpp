#ifndef CHICORYLINK_FLEET_REGION_DIGEST_HPP
#define CHICORYLINK_FLEET_REGION_DIGEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/target_notice.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Whether a VM takes requests.
enum class member_state : std::uint8_t {
    /// Knows no configuration or no targets yet, or may no longer use them.
    not_ready,
    ready,
    /// Finishes its requests and then exits.
    leaving,
};

struct vm_capacity_tag;

/// Measure of a VM's processor and network; only order and ratio matter.
using vm_capacity = base::strong_id<vm_capacity_tag, std::uint16_t>;

struct data_center_hash_tag;

/// Identifies a data center in messages: the low bits of the hash of its name, 0 when unknown. Only
/// preferences depend on it, so that a collision does no harm.
using data_center_hash = base::strong_id<data_center_hash_tag, std::uint32_t>;

[[nodiscard]] inline data_center_hash hash_of(const data_center_name& name)
{
    return data_center_hash{static_cast<std::uint32_t>(base::hash_name(name.text()))};
}

/// @brief Units of a team's quota admitted since the start of a process.
struct team_usage {
    base::team_id team;
    std::uint64_t admitted = 0;
};

/// @brief Work and load at one target.
struct target_use {
    base::target_id target;
    std::uint32_t in_flight = 0;
    /// Prompt tokens that the target has not read yet.
    std::uint32_t unread_tokens = 0;
    /// Newest load that the target reported with an answer.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::milliseconds load_age{0};
};

/// @brief Usable targets of a service in one region and how long work waits there.
struct service_outlook {
    std::uint64_t service = 0;
    std::uint32_t usable_targets = 0;
    base::milliseconds wait{0};
};

/// @brief Requests per second that the targets of a service take in one region.
struct service_rate {
    std::uint64_t service = 0;
    double per_second = 0;
};

/// @brief Entry of a VM in a digest.
struct digest_member {
    std::string ip;
    base::incarnation run;
    vm_capacity capacity;
    member_state state = member_state::not_ready;
    /// Time since a VM of its region heard from it.
    base::milliseconds age{0};
    data_center_hash data_center;
};

/// @brief A delegate's summary of its region. Delegates exchange digests and pass them on to the
/// VMs of their own region, so that traffic grows with the number of VMs and not of their pairs.
struct region_digest {
    region_name region;
    /// Run of the delegate that made the digest; its totals continue only within one run.
    base::incarnation reporter;
    /// Time since the digest was made.
    base::milliseconds age{0};
    /// Round trip between the region and that of the VM that passes the digest on.
    base::milliseconds round_trip{0};
    std::vector<digest_member> members;
    /// Totals over all VMs of the region since the reporter's start.
    std::vector<team_usage> usage;
    /// Totals over all VMs of the region; only sent within it.
    std::vector<target_use> targets;
    std::vector<service_outlook> outlook;
    /// Recent notices of targets to VMs; only sent within the region.
    std::vector<target_notice> notices;
    /// What targets stated about the rate that they take; only sent within the region.
    std::vector<limit_report> limits;
    /// Services whose usable targets in the region all limit their rate.
    std::vector<service_rate> limited_services;
    /// Parts of prompts that may crash targets.
    crash_reports crashes;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_REGION_DIGEST_HPP
