#ifndef CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP
#define CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chicorylink::membership {

/// @brief The table's state of one other VM.
struct peer_record {
    member info;
    std::uint64_t started_ms = 0;

    /// According to the platform's list.
    bool listed = false;
    bool listed_leaving = false;
    base::time_point unlisted_since{};

    /// According to its own heartbeats and probes.
    bool heard = false;
    bool reported_leaving = false;
    std::uint32_t sequence = 0;
    /// Last contact; moved forward after a pause of this process, so that its own pauses don't
    /// cause suspicion.
    base::time_point heard_at{};
    /// Last contact; not adjusted for pauses.
    base::time_point silent_since{};
    /// When this process sent the newest message that the peer acknowledged.
    base::time_point acked_at{};
    /// Whether it may act without acknowledgements by others, as in a region of two.
    bool may_act_alone = true;

    /// According to delegates of its data center, while they send summaries to this VM.
    member_state reported = member_state::live;
    /// According to delegates of this data center.
    member_state relayed = member_state::live;
    bool ever_reported = false;

    /// Its process is never acknowledged again, because it was reported as silent or is gone.
    bool fenced = false;
    base::time_point gone_at{};
    /// Earlier processes at this address.
    std::vector<base::incarnation> superseded;
    /// VMs that confirmed its silence, and when.
    std::map<base::vm_id, base::time_point> silence_votes;
};

/// @brief Whether the process of a record is known to be gone.
[[nodiscard]] inline bool is_gone(const peer_record& peer)
{
    return peer.info.proof != gone_proof::none;
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP
