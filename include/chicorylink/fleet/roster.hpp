#ifndef CHICORYLINK_FLEET_ROSTER_HPP
#define CHICORYLINK_FLEET_ROSTER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What is known of another VM.
struct member {
    member_identity who;
    member_state state = member_state::not_ready;
    base::config_version version;
    std::optional<base::milliseconds> confirmed_age;
    base::time_point heard_at{};
    std::uint64_t sequence = 0;
    /// The sender's clock in its newest heartbeat, to be echoed.
    std::uint64_t sent_ms = 0;
    std::vector<service_outlook> outlook;
    /// Smoothed time of a datagram there and back; none before it was measured.
    std::optional<base::milliseconds> round_trip;
    /// Whether its silence has been told.
    bool silence_told = false;
};

/// @brief What a heartbeat changed.
enum class heartbeat_effect { ignored, refreshed, joined, restarted, state_changed };

/// @brief The VMs that this process knows: found by seeds, then by each other's heartbeats.
///
/// No list of VMs is published anywhere. A VM that falls silent leaves the directory after
/// `silence_bound` and is called for `memory` before it is forgotten.
class roster {
public:
    /// Silence after which a VM is named to no caller and gets no work. Eight missed heartbeats.
    static constexpr base::milliseconds silence_bound{2000};
    /// How long a silent VM counts as one that may still admit requests behind a partition.
    static constexpr base::milliseconds memory{20'000};
    /// Intervals of heartbeats: within a region, to other regions, and to VMs that don't answer.
    static constexpr base::milliseconds near_interval{250};
    static constexpr base::milliseconds far_interval{500};
    static constexpr base::milliseconds silent_interval{1000};

    roster(member_identity self, std::vector<std::string> seed_ips);

    /// @brief Replaces the seeds after a change of the settings.
    void set_seeds(std::vector<std::string> seed_ips);

    /// @brief Takes a heartbeat in.
    heartbeat_effect on_heartbeat(const heartbeat& message, base::time_point now);

    /// @brief The IP numbers that are to be sent a heartbeat now; notes that they are.
    [[nodiscard]] std::vector<std::string> take_due(base::time_point now);

    /// @brief Forgets VMs that have been silent for long; returns the names of those that fell
    /// silent since the last call.
    std::vector<vm_name> tick(base::time_point now);

    [[nodiscard]] const member_identity& self() const { return m_self; }
    [[nodiscard]] const member* find(const std::string& ip) const;
    [[nodiscard]] const std::map<std::string, member>& members() const { return m_members; }

    /// @brief Whether a VM was heard within `silence_bound`.
    [[nodiscard]] static bool is_heard(const member& who, base::time_point now);

    /// @brief Whether a VM takes requests, as far as is known here.
    [[nodiscard]] static bool takes_requests(const member& who, base::time_point now);

    /// @brief VMs of a region that are heard and not leaving, this one included when it fits.
    [[nodiscard]] std::size_t live_in_region(const region_name& region, base::time_point now) const;

    /// @brief VMs that may admit requests, and those of them that are heard; both with this one.
    struct fleet_size {
        std::size_t known = 1;
        std::size_t heard = 1;
    };
    [[nodiscard]] fleet_size size(base::time_point now) const;

    /// @brief IP numbers of all VMs heard, for the heartbeats.
    [[nodiscard]] std::vector<std::string> heard_ips(base::time_point now) const;

private:
    [[nodiscard]] base::milliseconds interval_to(const std::string& ip, base::time_point now) const;

    member_identity m_self;
    std::vector<std::string> m_seeds;
    std::map<std::string, member> m_members;
    /// Runs that another run at the same address has replaced.
    std::map<std::string, base::incarnation> m_replaced;
    /// IP numbers that others named and that have not answered yet, by when they were last named.
    std::map<std::string, base::time_point> m_hearsay;
    std::map<std::string, base::time_point> m_sent_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_ROSTER_HPP
