#ifndef CHICORYLINK_FLEET_ROSTER_HPP
#define CHICORYLINK_FLEET_ROSTER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/vm_census.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What is known about another VM.
struct member {
    region_name region;
    data_center_hash data_center;
    base::incarnation run;
    vm_capacity capacity;
    member_state state = member_state::not_ready;
    /// Time of its last heartbeat, to this VM or to a delegate of its region.
    base::time_point heard_at{};
    /// The fields below come from its heartbeats to this VM.
    std::optional<base::time_point> direct_at;
    std::uint64_t sequence = 0;
    std::uint64_t sent_ms = 0;
    std::optional<base::milliseconds> confirmed_age;
    std::optional<base::milliseconds> round_trip;
    /// Whether its silence has been reported.
    bool silence_reported = false;
};

/// @brief Effect of a received heartbeat.
enum class heartbeat_effect { ignored, refreshed, joined, restarted, state_changed };

/// @brief Which digests a heartbeat carries besides the sender's own state.
enum class digest_scope { none, own_region, all_regions };

/// @brief A heartbeat to send.
struct due_heartbeat {
    std::string ip;
    digest_scope scope = digest_scope::none;
    bool wants_digests = false;
};

/// @brief The VMs that this process knows, found by seeds and then by digests of their regions.
///
/// No list of VMs is published anywhere. In each region the VMs of the largest capacity, and among
/// equals the first ones by hash, are its delegates; the second one is in another data center if
/// that has a VM of equal capacity. All VMs of a region send heartbeats to its delegates, which
/// send the region's digest to all its VMs and to the delegates of other regions. A VM that falls
/// silent leaves the directory after `silence_timeout` and gets heartbeats until it is removed
/// after `remove_after`.
class roster {
public:
    /// Enough that one may fail without effect.
    static constexpr std::size_t delegate_count = 2;
    /// Silence after which a VM is listed to no caller and gets no work: several missed heartbeats.
    static constexpr base::milliseconds silence_timeout{2000};
    /// How long a silent VM counts as one that may still admit requests behind a partition.
    static constexpr base::milliseconds remove_after{20'000};
    /// Heartbeat intervals: to delegates of this VM's region, between regions, and to VMs that
    /// don't answer.
    static constexpr base::milliseconds intra_region_interval{250};
    static constexpr base::milliseconds inter_region_interval{500};
    static constexpr base::milliseconds silent_interval{1000};
    /// Interval of digests to VMs of another data center that has a delegate itself: short enough
    /// that its VMs hear of each other within `silence_timeout` when that delegate fails.
    static constexpr base::milliseconds cross_data_center_digest_interval{1000};
    /// A delegate's digest interval per live VM of its region: digests are rarer in a large region.
    static constexpr base::milliseconds digest_interval_per_vm{20};

    /// @param regions All regions of the system.
    roster(member_identity self, std::vector<std::string> seed_ips, std::set<region_name> regions);

    /// @brief Replaces seeds and regions after a settings change.
    void set_seeds_and_regions(std::vector<std::string> seed_ips, std::set<region_name> regions);

    /// @brief Applies a heartbeat, without its digests.
    heartbeat_effect on_heartbeat(const heartbeat& message, base::time_point now);

    /// @brief Applies the members of a digest.
    void on_digest(const region_digest& digest, base::time_point now);

    /// @brief Returns the heartbeats to send now and records them as sent.
    [[nodiscard]] std::vector<due_heartbeat> take_due(base::time_point now);

    /// @brief Removes VMs that have been silent for long.
    /// @return The VMs that fell silent since the last call.
    std::vector<std::string> tick(base::time_point now);

    [[nodiscard]] const member_identity& self() const { return m_self; }
    [[nodiscard]] const member* find(const std::string& ip) const;
    [[nodiscard]] const std::map<std::string, member>& members() const { return m_members; }

    /// @brief Whether a VM was heard from within `silence_timeout`.
    [[nodiscard]] static bool is_live(const member& peer, base::time_point now);

    /// @brief Whether a VM takes requests, as far as this process knows.
    [[nodiscard]] static bool takes_requests(const member& peer, base::time_point now);

    /// @brief IP addresses of the live VMs of this VM's region, this one included.
    [[nodiscard]] std::vector<std::string> region_ips(base::time_point now) const;

    /// @brief The delegates of a region as far as this process knows; this VM may be one.
    [[nodiscard]] std::vector<std::string> delegates_of(const region_name& region,
                                                        base::time_point now) const;

    /// @brief Whether this VM is a delegate of its region.
    [[nodiscard]] bool is_delegate(base::time_point now) const;

    /// @brief The members of this VM's region for its digest, this one included.
    [[nodiscard]] std::vector<digest_member> region_members(member_state own_state,
                                                            base::time_point now) const;

    /// @brief The smoothed round trip to a region; empty while none of its VMs answers this one.
    [[nodiscard]] std::optional<base::milliseconds> round_trip_to(const region_name& region) const;

    /// @brief Number of VMs that may admit requests, and of those that are live; both include this
    /// one.
    struct fleet_size {
        std::size_t known = 1;
        std::size_t live = 1;
    };
    [[nodiscard]] fleet_size size(base::time_point now) const;

    /// @brief The VMs that share the fleet's slack for retries.
    [[nodiscard]] retry_sharers sharers() const
    {
        return m_census.sharers(m_self.region, m_regions);
    }

private:
    [[nodiscard]] bool is_due(const std::string& ip, base::milliseconds interval,
                              base::time_point now);
    [[nodiscard]] bool is_alone(base::time_point now) const;
    void add_intra_region(std::vector<due_heartbeat>& due, base::time_point now);
    void add_inter_region(std::vector<due_heartbeat>& due, base::time_point now);
    void add_seeds(std::vector<due_heartbeat>& due, base::time_point now);

    member_identity m_self;
    std::vector<std::string> m_seeds;
    std::set<region_name> m_regions;
    std::map<std::string, member> m_members;
    vm_census m_census;
    /// Runs that were replaced by another run at the same address.
    std::map<std::string, base::incarnation> m_replaced;
    std::map<std::string, base::time_point> m_sent_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_ROSTER_HPP
