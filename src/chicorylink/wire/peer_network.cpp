#include "chicorylink/wire/peer_network.hpp"

#include "chicorylink/wire/connection.hpp"
#include "chicorylink/wire/event_loop.hpp"
#include "chicorylink/wire/tls_context.hpp"

#include <utility>

namespace chicorylink::wire {
namespace {

base::leaf::error_id not_connected()
{
    return base::fail(base::error_kind::unavailable, "there is no usable link to the peer",
                      "choose another VM or try again later");
}

} // namespace

peer_network::peer_network(std::unique_ptr<event_loop> loop) : m_loop(std::move(loop))
{
    m_loop->start();
}

peer_network::~peer_network() = default;

const std::string& peer_network::listen_address() const
{
    return m_loop->settings().listen_address;
}

void peer_network::set_peers(const std::vector<peer_address>& peers)
{
    m_loop->set_peers(peers);
}

bool peer_network::is_connected(base::vm_id to) const
{
    return m_loop->connections().find_active(to) != nullptr;
}

bool peer_network::send_control(base::vm_id to, channel_id channel,
                                std::span<const std::uint8_t> message)
{
    const auto link = m_loop->connections().find_active(to);
    if (link == nullptr) {
        return false;
    }
    {
        const std::lock_guard lock{link->mutex};
        if (link->lost || !link->state.send_control(channel, message)) {
            return false;
        }
    }
    m_loop->wakeups().notify(link->number);
    return true;
}

base::result<stream_id> peer_network::open_stream(base::vm_id to,
                                                  std::span<const std::uint8_t> header,
                                                  stream_handler handler)
{
    const auto link = m_loop->connections().find_active(to);
    if (link == nullptr) {
        return not_connected();
    }
    auto kept = std::make_shared<const stream_handler>(std::move(handler));
    std::optional<stream_number> number;
    {
        const std::lock_guard lock{link->mutex};
        if (!link->lost) {
            number = link->state.open(header);
        }
        if (number) {
            link->handlers.emplace(*number, std::move(kept));
        }
    }
    if (!number) {
        return not_connected();
    }
    m_loop->wakeups().notify(link->number);
    return stream_id{link->number, *number};
}

send_result peer_network::send_data(stream_id stream, std::span<const std::uint8_t> data)
{
    const auto link = m_loop->connections().find(stream.link);
    if (link == nullptr) {
        return send_result::closed;
    }
    auto outcome = send_result::closed;
    {
        const std::lock_guard lock{link->mutex};
        if (!link->lost) {
            outcome = link->state.send(stream.number, data);
        }
    }
    m_loop->wakeups().notify(link->number);
    return outcome;
}

void peer_network::finish(stream_id stream)
{
    if (const auto link = m_loop->connections().find(stream.link)) {
        {
            const std::lock_guard lock{link->mutex};
            link->state.finish(stream.number);
        }
        m_loop->wakeups().notify(link->number);
    }
}

void peer_network::reset(stream_id stream, reset_reason reason)
{
    if (const auto link = m_loop->connections().find(stream.link)) {
        {
            const std::lock_guard lock{link->mutex};
            link->handlers.erase(stream.number);
            link->state.reset(stream.number, reason);
        }
        m_loop->wakeups().notify(link->number);
    }
}

void peer_network::consume(stream_id stream, std::size_t byte_count)
{
    if (const auto link = m_loop->connections().find(stream.link)) {
        {
            const std::lock_guard lock{link->mutex};
            link->state.consume(stream.number, byte_count);
        }
        m_loop->wakeups().notify(link->number);
    }
}

base::result<void> peer_network::reload_tls()
{
    if (!m_loop->settings().tls) {
        return {};
    }
    BOOST_LEAF_AUTO(fresh, tls_context::load(*m_loop->settings().tls));
    m_loop->set_tls(std::move(fresh));
    return {};
}

} // namespace chicorylink::wire
