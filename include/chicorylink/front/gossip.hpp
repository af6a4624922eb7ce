#ifndef CHICORYLINK_FRONT_GOSSIP_HPP
#define CHICORYLINK_FRONT_GOSSIP_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/front/datagram_socket.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include <boost/asio/ip/udp.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief Sends and takes heartbeats, one datagram each.
class gossip {
public:
    /// @param on_heartbeat Called for each heartbeat of another VM, after the roster took it in.
    gossip(front_core& core, boost::asio::ip::udp::socket socket,
           std::function<void(const fleet::heartbeat&)> on_heartbeat);

    /// @brief Sends the heartbeats that are due.
    void tick(base::time_point now);

    /// @brief Takes heartbeats that have arrived, without waiting for the loop.
    void take_pending() { m_datagrams.take_pending(); }

    /// @brief Tells the VMs of the region at once, such as that this one leaves.
    void announce(base::time_point now);

private:
    base::result<void> take_heartbeat(std::span<const std::uint8_t> bytes,
                                      const boost::asio::ip::udp::endpoint& from);
    void take_digest(const fleet::region_digest& digest, const fleet::region_name& sender,
                     base::time_point now);
    void send_to(const fleet::due_heartbeat& due, base::time_point now);
    [[nodiscard]] fleet::heartbeat message_to(const fleet::due_heartbeat& due,
                                              base::time_point now);
    /// @brief The region's digest, made once for all receivers of one round.
    [[nodiscard]] const fleet::region_digest& own_digest(bool with_targets, base::time_point now);
    [[nodiscard]] fleet::region_digest make_digest(bool with_targets, base::time_point now);

    struct dated_digest {
        fleet::region_digest digest;
        base::time_point made_at{};
    };

    front_core& m_core;
    datagram_socket m_datagrams;
    std::function<void(const fleet::heartbeat&)> m_on_heartbeat;
    std::uint64_t m_sequence = 0;
    dated_digest m_near_digest;
    dated_digest m_far_digest;
    /// When the region's VMs were last told of this VM's work.
    base::time_point m_told_at{};
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_GOSSIP_HPP
