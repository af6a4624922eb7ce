#ifndef CHICORYLINK_WIRE_PEER_NETWORK_HPP
#define CHICORYLINK_WIRE_PEER_NETWORK_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/frame.hpp"
#include "chicorylink/wire/peer_address.hpp"
#include "chicorylink/wire/send_result.hpp"
#include "chicorylink/wire/stream_handler.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace chicorylink::wire {

class event_loop;

/// @brief The links of this process to its peers, driven by one background thread.
///
/// Each side uses the connection that it opened itself for its control messages and for the
/// streams that it opens; responses of a stream arrive on the same connection. All members are
/// thread-safe and may be called from within handlers. Handlers run on the network thread.
class peer_network {
public:
    explicit peer_network(std::unique_ptr<event_loop> loop);

    /// @brief Stops the network thread and closes all links. No handler is called afterwards.
    ~peer_network();

    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    /// @brief The `IP:port` where this process listens, with the port that was chosen.
    [[nodiscard]] const std::string& listen_address() const;

    /// @brief Replaces the list of peers: connects to new ones, drops links to others. Only these
    /// peers may connect. An entry of this VM itself is ignored.
    void set_peers(const std::vector<peer_address>& peers);

    /// @brief Whether there is a usable connection to a peer.
    [[nodiscard]] bool is_connected(base::vm_id to) const;

    /// @brief Queues a control message. It may be lost with the connection, and a message above
    /// 16 KB may arrive after a later short one.
    /// @return False when there is no connection, its queue is full or the message too large.
    bool send_control(base::vm_id to, channel_id channel, std::span<const std::uint8_t> message);

    /// @brief Opens a stream to a peer. Once this has returned a stream, its header may have
    /// reached the peer. Handlers may be called before this returns.
    /// @return `unavailable` when there is no connection or it has reached its limit of streams;
    /// nothing was sent then.
    [[nodiscard]] base::result<stream_id>
    open_stream(base::vm_id to, std::span<const std::uint8_t> header, stream_handler handler);

    /// @brief Queues bytes of a stream, in order. Either all of them are accepted or none.
    send_result send_data(stream_id stream, std::span<const std::uint8_t> data);

    /// @brief Finishes this side of a stream after the bytes queued so far.
    void finish(stream_id stream);

    /// @brief Aborts a stream; unsent bytes are dropped and the peer is notified. No handler is
    /// called afterwards, except one that is already running.
    void reset(stream_id stream, reset_reason reason);

    /// @brief Reports received bytes as processed, so that the peer may send as many more.
    void consume(stream_id stream, std::size_t byte_count);

    /// @brief Loads the TLS files again; new connections use them.
    /// @return An `invalid_setting` error when they can't be used; the old ones stay in use.
    [[nodiscard]] base::result<void> reload_tls();

private:
    std::unique_ptr<event_loop> m_loop;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_PEER_NETWORK_HPP
