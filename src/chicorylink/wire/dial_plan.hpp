#ifndef CHICORYLINK_WIRE_DIAL_PLAN_HPP
#define CHICORYLINK_WIRE_DIAL_PLAN_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/link_limits.hpp"
#include "chicorylink/wire/peer_address.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorylink::wire {

/// @brief Decides which peers to connect to and when. Pure: the time and a seed are passed in.
class dial_plan {
public:
    dial_plan(base::vm_id self, std::uint64_t seed, const link_limits& limits);

    /// @brief Replaces the peers.
    /// @return Peers whose connection must be retired: removed, or at another address now.
    [[nodiscard]] std::vector<base::vm_id> set_peers(const std::vector<peer_address>& peers,
                                                     base::time_point now);

    [[nodiscard]] bool knows(base::vm_id vm) const { return m_peers.contains(vm); }

    /// @brief The peers to connect to now; each is returned once until it has failed.
    [[nodiscard]] std::vector<peer_address> take_due(base::time_point now);

    /// @brief Records that a connection is in use; the next failure starts with the shortest delay.
    void connected(base::vm_id vm);

    /// @brief Records that a connection failed or was lost.
    void failed(base::vm_id vm, base::time_point now);

    /// @brief When the next connection is due; `time_point::max()` when none is.
    [[nodiscard]] base::time_point next_due() const;

private:
    struct entry {
        std::string address;
        std::uint32_t failures = 0;
        base::time_point due;
    };

    base::vm_id m_self;
    std::uint64_t m_seed;
    link_limits m_limits;
    std::unordered_map<base::vm_id, entry> m_peers;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_DIAL_PLAN_HPP
