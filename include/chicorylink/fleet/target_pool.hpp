#ifndef CHICORYLINK_FLEET_TARGET_POOL_HPP
#define CHICORYLINK_FLEET_TARGET_POOL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/target_notice.hpp"
#include "chicorylink/fleet/tracked_target.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief The targets of this VM's region, with the work that is there.
class target_pool {
public:
    /// @brief Takes published targets over; what is known of those that remain is kept.
    /// @param region_of The region of each data center.
    void sync(const published_state& state, const region_name& region,
              const std::map<data_center_name, region_name>& region_of, base::time_point now);

    [[nodiscard]] const std::map<target_name, tracked_target>& targets() const { return m_targets; }
    [[nodiscard]] const tracked_target* find(const target_name& name) const;

    [[nodiscard]] const tracked_target* find(base::target_id id) const;

    /// @brief The desk gave a place at a target.
    void on_reserved(const target_name& name, const prompt* asked, std::uint32_t unread,
                     std::uint8_t urgency, base::time_point now);

    /// @brief A reserved request began.
    void on_reserved_begun(const target_name& name, base::time_point now);

    /// @brief The prompt of a reserved request needs to be read no more.
    void on_reserved_read(const target_name& name, std::uint32_t unread, std::uint8_t urgency);

    /// @brief A reserved request is no longer at its target.
    void on_reserved_ended(const target_name& name);

    /// @brief When the first reserved request that has not begun should have, by target.
    void set_first_due(const std::map<target_name, base::time_point>& due);

    /// @brief A request goes to a target.
    /// @param asked Its prompt; null at a plain service.
    /// @param unread Tokens of the prompt that the target is believed to have to read.
    void on_sent(const target_name& name, const prompt* asked, std::uint32_t unread,
                 base::time_point now);

    /// @brief The answer to a request began, so its prompt is read.
    void on_begun(const target_name& name, std::uint32_t unread, base::time_point now);

    /// @brief A request is no longer at a target.
    /// @param unread Tokens not yet taken back by `on_begun`; zero after it.
    void on_ended(const target_name& name, std::uint32_t unread);

    /// @brief Judges an attempt. Returns whether it ejected the target.
    bool on_outcome(const target_name& name, target_outcome outcome, base::milliseconds took,
                    base::time_point now);

    /// @brief Bytes came from a target.
    void on_sign(const target_name& name, base::time_point now);

    /// @brief A target let a request wait and gave no sign to anyone. Returns whether it is newly
    /// ejected.
    bool on_silence(const target_name& name, base::time_point now);

    void on_load(const target_name& name, std::uint32_t running, std::uint32_t waiting,
                 base::time_point now);

    /// @brief An answer said that its target leaves. Returns whether that is news.
    bool on_leaving(const target_name& name, base::time_point now);

    /// @brief An answer asked this VM to send nothing for some time.
    /// @param seed Of this VM; the VMs of a region return at different times.
    void on_wait_asked(const target_name& name, base::milliseconds wait, std::uint64_t seed,
                       base::time_point now);

    /// @brief What a target asked of another VM. Returns whether it is news that the target leaves.
    /// @param pass_on Whether this VM tells the region.
    bool on_notice(const target_notice& notice, bool pass_on, base::time_point now);

    /// @brief What the region is to be told of its targets.
    [[nodiscard]] std::vector<target_notice> notices(base::time_point now) const;

    /// @brief How long until the first target of a service wants requests from this VM again, when
    /// all that could serve asked it to wait; none when one of them did not.
    [[nodiscard]] std::optional<base::milliseconds> shortest_wait(const service_name& service,
                                                                  base::time_point now) const;

    /// @brief Another target answered at its address.
    void on_displaced(const target_name& name);

    /// @brief What another VM of the region has at its targets.
    void on_peer_use(const std::string& ip, const std::vector<target_use>& use,
                     base::time_point now);

    /// @brief What all VMs of the region have at its targets, this one included.
    void on_region_use(const std::vector<target_use>& use, base::time_point now);

    /// @brief What all VMs of the region have at its targets, for the region's digest.
    [[nodiscard]] std::vector<target_use> region_use(base::time_point now) const;

    /// @brief What this VM has at its targets, for the heartbeats; idle targets are left out.
    [[nodiscard]] std::vector<target_use> own_use(base::time_point now) const;

    /// @brief Notes that the delegates are being told what this VM has at its targets.
    void note_told(base::time_point now);

private:
    [[nodiscard]] tracked_target* find_mutable(const target_name& name);
    void keep_restraints(const std::map<target_name, tracked_target>& next, base::time_point now);

    std::map<target_name, tracked_target> m_targets;
    std::map<base::target_id, target_name> m_names;
    /// Restraints of runs that have no entry at present; it may come back.
    std::map<base::target_id, target_restraint> m_departed;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_POOL_HPP
