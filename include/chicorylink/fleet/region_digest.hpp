#ifndef CHICORYLINK_FLEET_REGION_DIGEST_HPP
#define CHICORYLINK_FLEET_REGION_DIGEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/target_notice.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What a VM does with requests at present.
enum class member_state : std::uint8_t {
    /// Knows no configuration or no targets yet, or may not use them any more.
    not_ready,
    ready,
    /// Finishes what it has and ends.
    leaving,
};

struct vm_capacity_tag;

/// A measure of a VM's processor and network; only its order and proportion count.
using vm_capacity = base::strong_id<vm_capacity_tag, std::uint16_t>;

struct data_center_mark_tag;

/// Tells data centers apart in messages: the low bits of the hash of the name, 0 when unknown. Only
/// preferences depend on it, so that two names with one mark do no harm.
using data_center_mark = base::strong_id<data_center_mark_tag, std::uint32_t>;

[[nodiscard]] inline data_center_mark mark_of(const data_center_name& name)
{
    return data_center_mark{static_cast<std::uint32_t>(base::hash_name(name.text()))};
}

/// @brief The units of a team's quota that were admitted since some start.
struct team_usage {
    base::team_id team;
    std::uint64_t admitted = 0;
};

/// @brief Work at one target.
struct target_use {
    base::target_id target;
    std::uint32_t in_flight = 0;
    /// Prompt tokens that the target has yet to read.
    std::uint32_t unread_tokens = 0;
    /// The newest load that the target told with an answer.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::milliseconds load_age{0};
};

/// @brief How long work waits at the targets of a service in one region.
struct service_outlook {
    std::uint64_t service = 0;
    std::uint32_t usable_targets = 0;
    base::milliseconds wait{0};
};

/// @brief A VM as a digest tells of it.
struct digest_member {
    std::string ip;
    base::incarnation run;
    vm_capacity capacity;
    member_state state = member_state::not_ready;
    /// How long ago a VM of its region heard it.
    base::milliseconds age{0};
    data_center_mark data_center;
};

/// @brief What one delegate knows of its region. Delegates exchange digests and pass them on to
/// the VMs of their own region, so that traffic grows with the VMs and not with their pairs.
struct region_digest {
    region_name region;
    /// The run of the delegate that made it; its sums go on only within one run.
    base::incarnation reporter;
    /// How long ago it was made.
    base::milliseconds age{0};
    /// Round trip between the region and that of the VM that passes the digest on.
    base::milliseconds round_trip{0};
    std::vector<digest_member> members;
    /// Sums over all VMs of the region since the reporter's start.
    std::vector<team_usage> usage;
    /// Sums over all VMs of the region; only told within it.
    std::vector<target_use> targets;
    std::vector<service_outlook> outlook;
    /// What targets asked of VMs of late; only told within the region.
    std::vector<target_notice> notices;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_REGION_DIGEST_HPP
