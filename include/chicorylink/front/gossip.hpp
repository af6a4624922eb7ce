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

/// @brief Sends and receives heartbeats, one datagram each.
class gossip {
public:
    /// @param on_heartbeat Called for each heartbeat of another VM that the roster has accepted.
    gossip(front_core& core, boost::asio::ip::udp::socket socket,
           std::function<void(const fleet::heartbeat&)> on_heartbeat);

    /// @brief Sends the heartbeats that are due.
    void tick(base::time_point now);

    /// @brief Handles heartbeats that have arrived, without waiting for the event loop.
    void receive_pending() { m_datagrams.receive_pending(); }

    /// @brief Sends a heartbeat to all VMs of the region now, such as when this VM leaves.
    void announce(base::time_point now);

private:
    base::result<void> handle_heartbeat(std::span<const std::uint8_t> bytes,
                                        const boost::asio::ip::udp::endpoint& from);
    void apply_digest(const fleet::region_digest& digest, const fleet::region_name& sender,
                      base::time_point now);
    void send_heartbeat(const fleet::due_heartbeat& due, base::time_point now);
    [[nodiscard]] fleet::heartbeat make_heartbeat(const fleet::due_heartbeat& due,
                                                  base::time_point now);
    /// @brief The digest of this region, built once per round for all receivers.
    /// @param with_targets Whether it holds target load and notices, for VMs of this region.
    [[nodiscard]] const fleet::region_digest& own_digest(bool with_targets, base::time_point now);
    [[nodiscard]] fleet::region_digest make_digest(bool with_targets, base::time_point now);

    struct cached_digest {
        fleet::region_digest digest;
        base::time_point made_at{};
    };

    front_core& m_core;
    datagram_socket m_datagrams;
    std::function<void(const fleet::heartbeat&)> m_on_heartbeat;
    std::uint64_t m_sequence = 0;
    cached_digest m_digest_with_targets;
    cached_digest m_digest_without_targets;
    /// When this VM's load on the targets was last sent to the VMs of the region.
    base::time_point m_load_sent_at{};
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_GOSSIP_HPP
