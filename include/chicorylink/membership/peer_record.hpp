#ifndef CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP
#define CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chicorylink::membership {

/// @brief All that the table keeps of one other VM.
struct peer_record {
    member info;
    std::uint64_t started_ms = 0;

    /// By the platform's list.
    bool listed = false;
    bool listed_leaving = false;
    base::time_point unlisted_since{};

    /// By its own heartbeats and probes.
    bool heard = false;
    bool said_leaving = false;
    std::uint32_t sequence = 0;
    /// Moved forward by own pauses, so that they don't make others suspect.
    base::time_point heard_at{};
    /// The last word from it; never moved.
    base::time_point silent_since{};
    /// When the newest own message that it acknowledged was sent.
    base::time_point acked_at{};
    /// Whether it may act without acknowledgements of others, as in a region of two.
    bool may_act_alone = true;

    /// By delegates of its data center, while they speak to this VM.
    member_state reported = member_state::live;
    /// By delegates of this data center.
    member_state relayed = member_state::live;
    bool reported_at_all = false;

    /// Its process is never acknowledged again: it was said to be silent, or it is gone.
    bool fenced = false;
    base::time_point gone_at{};
    /// Processes that ran before at this address.
    std::vector<base::incarnation> superseded;
    /// VMs that said they have had silence from it too.
    std::map<base::vm_id, base::time_point> silence_votes;
};

/// @brief Whether the process of a record is known to be gone.
[[nodiscard]] inline bool is_gone(const peer_record& peer)
{
    return peer.info.proof != gone_proof::none;
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_PEER_RECORD_HPP
