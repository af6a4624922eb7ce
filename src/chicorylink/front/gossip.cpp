#include "chicorylink/front/gossip.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/front/front_core.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace chicorylink::front {
namespace {

using udp = boost::asio::ip::udp;

/// Above the largest heartbeat of a region with hundreds of targets.
constexpr std::size_t datagram_bytes = 16UL * 1024;

std::array<std::uint8_t, datagram_bytes>& receive_buffer()
{
    static std::array<std::uint8_t, datagram_bytes> buffer;
    return buffer;
}

std::uint64_t to_ms(base::time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(at.time_since_epoch()).count());
}

fleet::member_state state_of(const front_core& core, base::time_point now)
{
    switch (readiness_of(core, now)) {
    case readiness::ready:
        return fleet::member_state::ready;
    case readiness::leaving:
        return fleet::member_state::leaving;
    case readiness::no_configuration:
    case readiness::no_targets:
    case readiness::stale_configuration:
        break;
    }
    return fleet::member_state::not_ready;
}

std::string_view name_of(fleet::heartbeat_effect effect)
{
    switch (effect) {
    case fleet::heartbeat_effect::joined:
        return "peer_joined";
    case fleet::heartbeat_effect::restarted:
        return "peer_restarted";
    case fleet::heartbeat_effect::state_changed:
        return "peer_state_changed";
    case fleet::heartbeat_effect::ignored:
    case fleet::heartbeat_effect::refreshed:
        break;
    }
    return {};
}

} // namespace

gossip::gossip(front_core& core, udp::socket socket,
               std::function<void(const fleet::heartbeat&)> on_heartbeat)
    : m_core(core), m_socket(std::move(socket)), m_on_heartbeat(std::move(on_heartbeat))
{
    m_socket.non_blocking(true);
    receive();
}

void gossip::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](boost::system::error_code stopped) {
        if (stopped) {
            return;
        }
        boost::system::error_code problem;
        while (!problem) {
            const auto size = m_socket.receive(boost::asio::buffer(receive_buffer()), 0, problem);
            if (!problem) {
                take_datagram(size);
            }
        }
        receive();
    });
}

void gossip::take_datagram(std::size_t size)
{
    const auto now = base::boot_now();
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, fleet::decode_heartbeat({receive_buffer().data(), size}));
            const auto effect = m_core.members.on_heartbeat(message, now);
            if (effect == fleet::heartbeat_effect::ignored) {
                return {};
            }
            const auto event = name_of(effect);
            if (!event.empty()) {
                write_log(m_core, log_event(m_core, event)
                                      .add("peer", message.from.name.text())
                                      .add("ip", message.from.ip)
                                      .add("state", static_cast<int>(message.state))
                                      .add("version", message.version.value()));
            }
            m_core.quota.on_usage(message.from.ip, message.from.run, message.usage, now);
            if (message.from.region == m_core.settings.self.region) {
                m_core.pool.on_peer_use(message.from.ip, message.targets, now);
            }
            m_on_heartbeat(message);
            return {};
        },
        [&](const base::error& problem) {
            m_core.counters.add("bad_datagrams_total");
            write_log(m_core,
                      log_event(m_core, "bad_datagram").add("reason", base::describe(problem)));
        },
        [] {});
}

fleet::heartbeat gossip::message_to(const std::string& ip, base::time_point now)
{
    fleet::heartbeat message;
    message.from = m_core.settings.self;
    message.state = state_of(m_core, now);
    message.sequence = ++m_sequence;
    message.sent_ms = to_ms(now);
    const auto* known = m_core.members.find(ip);
    if (known != nullptr) {
        message.echo_ms = known->sent_ms;
        message.echo_held = std::chrono::duration_cast<base::milliseconds>(now - known->heard_at);
    }
    if (m_core.state.config()) {
        message.version = m_core.state.config()->version();
    }
    if (const auto confirmed = m_core.state.confirmed_at()) {
        message.confirmed_age = std::chrono::duration_cast<base::milliseconds>(now - *confirmed);
    }
    message.known = m_core.members.heard_ips(now);
    message.usage = m_core.quota.own_usage();
    if (known == nullptr || known->who.region == m_core.settings.self.region) {
        message.targets = m_core.pool.own_use();
    }
    else if (m_core.state.config()) {
        for (const auto& service : m_core.state.config()->services()) {
            message.outlook.push_back(fleet::outlook_of(m_core.pool, service.name, now));
        }
    }
    return message;
}

void gossip::send_to(const std::string& ip, base::time_point now)
{
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address(ip, problem);
    if (problem) {
        return;
    }
    const auto bytes = fleet::encode(message_to(ip, now));
    m_socket.send_to(boost::asio::buffer(bytes), {address, m_core.settings.peer_port}, 0, problem);
    if (problem) {
        m_core.counters.add("heartbeats_not_sent_total");
    }
}

void gossip::tick(base::time_point now)
{
    for (const auto& ip : m_core.members.take_due(now)) {
        send_to(ip, now);
    }
    for (const auto& name : m_core.members.tick(now)) {
        write_log(m_core, log_event(m_core, "peer_silent").add("peer", name.text()));
    }
}

void gossip::announce(base::time_point now)
{
    for (const auto& ip : m_core.members.heard_ips(now)) {
        send_to(ip, now);
    }
}

} // namespace chicorylink::front
