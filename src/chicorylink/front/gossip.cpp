#include "chicorylink/front/gossip.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/limited_regions.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/front/front_core.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace chicorylink::front {
namespace {

using udp = boost::asio::ip::udp;

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

std::string_view event_name(fleet::heartbeat_effect effect)
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
    : m_core(core),
      m_datagrams(core, std::move(socket), "heartbeats_not_sent_total",
                  [this](auto bytes, const auto& from) { return handle_heartbeat(bytes, from); }),
      m_on_heartbeat(std::move(on_heartbeat))
{
}

base::result<void> gossip::handle_heartbeat(std::span<const std::uint8_t> bytes,
                                            const udp::endpoint& from)
{
    const auto now = base::boot_now();
    BOOST_LEAF_AUTO(message, fleet::decode_heartbeat(bytes));
    if (from.address().to_string() != message.from.ip) {
        return base::fail(
            base::error_kind::invalid_message,
            fmt::format("heartbeat of {} arrived from another address", message.from.ip),
            "check which hosts can send to the peer port");
    }
    const auto effect = m_core.members.on_heartbeat(message, now);
    if (effect == fleet::heartbeat_effect::ignored) {
        return {};
    }
    const auto event = event_name(effect);
    if (!event.empty()) {
        write_log(m_core, log_event(m_core, event)
                              .add("peer", message.from.name.text())
                              .add("ip", message.from.ip)
                              .add("state", static_cast<int>(message.state))
                              .add("version", message.version.value()));
    }
    if (message.from.region == m_core.settings.self.region) {
        m_core.quota.on_member_usage(message.from.ip, message.from.run, message.usage, now);
        m_core.pool.on_peer_use(message.from.ip, message.targets, now);
    }
    for (const auto& digest : message.digests) {
        apply_digest(digest, message.from.region, now);
    }
    if (message.wants_digests) {
        send_heartbeat({message.from.ip, fleet::digest_scope::all_regions, false}, now);
    }
    m_on_heartbeat(message);
    return {};
}

void gossip::apply_digest(const fleet::region_digest& digest, const fleet::region_name& sender,
                          base::time_point now)
{
    m_core.members.on_digest(digest, now);
    m_core.quota.on_region_usage(digest, now);
    // The digest of this VM's own region is complete only from a VM of the region.
    if (digest.region != m_core.settings.self.region || sender == digest.region) {
        apply_crash_reports(m_core, digest.crashes, true, digest.age, now);
    }
    if (digest.region == m_core.settings.self.region) {
        if (sender == digest.region) {
            m_core.pool.on_region_use(digest.targets, now);
            for (const auto& notice : digest.notices) {
                apply_target_notice(m_core, notice, sender.text(), false, now);
            }
            for (const auto& report : digest.limits) {
                apply_limit_report(m_core, report, sender.text(), true, now);
            }
        }
        return;
    }
    m_core.remote_digests.note(digest, now);
}

const fleet::region_digest& gossip::own_digest(bool with_targets, base::time_point now)
{
    auto& cached = with_targets ? m_digest_with_targets : m_digest_without_targets;
    if (cached.made_at != now) {
        cached = {make_digest(with_targets, now), now};
    }
    return cached.digest;
}

fleet::region_digest gossip::make_digest(bool with_targets, base::time_point now)
{
    fleet::region_digest digest;
    digest.region = m_core.settings.self.region;
    digest.reporter = m_core.settings.self.run;
    digest.members = m_core.members.region_members(state_of(m_core, now), now);
    digest.usage = m_core.quota.region_usage();
    digest.crashes = m_core.quarantine.digest_reports(now);
    if (with_targets) {
        digest.targets = m_core.pool.region_use(now);
        digest.notices = m_core.pool.notices(now);
        digest.limits = m_core.pool.limit_reports(now);
    }
    if (m_core.state.config()) {
        const bool is_coordinating = m_core.placements->is_coordinator(now);
        for (const auto& service : m_core.state.config()->services()) {
            digest.outlook.push_back(
                fleet::outlook_of(m_core.pool, service.name, is_coordinating, now));
            if (const auto rate = fleet::limited_service(m_core.pool, service.name, now)) {
                digest.limited_services.push_back(*rate);
            }
        }
    }
    return digest;
}

fleet::heartbeat gossip::make_heartbeat(const fleet::due_heartbeat& due, base::time_point now)
{
    fleet::heartbeat message;
    message.from = m_core.settings.self;
    message.data_center = fleet::hash_of(m_core.settings.self.data_center);
    message.state = state_of(m_core, now);
    message.sequence = ++m_sequence;
    message.sent_ms = to_ms(now);
    const auto* known = m_core.members.find(due.ip);
    if (known != nullptr && known->direct_at) {
        message.echo_ms = known->sent_ms;
        message.echo_held = std::chrono::duration_cast<base::milliseconds>(now - *known->direct_at);
    }
    if (m_core.state.config()) {
        message.version = m_core.state.config()->version();
    }
    message.items_revision = m_core.state.items_revision();
    const auto age_of = [now](base::time_point then) {
        return std::chrono::duration_cast<base::milliseconds>(now - then);
    };
    if (const auto confirmed = m_core.state.confirmed_at()) {
        message.confirmed_age = age_of(*confirmed);
    }
    if (const auto confirmed = m_core.state.targets_confirmed_at()) {
        message.targets_age = age_of(*confirmed);
    }
    if (const auto& contact = m_core.state.contact().span()) {
        message.contact_age = age_of(contact->since);
    }
    if (const auto failed = m_core.state.failed_read_at()) {
        message.failed_read_age = age_of(*failed);
    }
    message.wants_digests = due.wants_digests;
    const bool same_region = known != nullptr && known->region == m_core.settings.self.region;
    if (same_region) {
        message.usage = m_core.quota.own_usage();
        message.targets = m_core.pool.own_use(now);
    }
    if (due.scope != fleet::digest_scope::none) {
        message.digests.push_back(own_digest(same_region, now));
    }
    if (due.scope == fleet::digest_scope::all_regions) {
        for (auto& digest : m_core.remote_digests.recent(now)) {
            digest.round_trip =
                m_core.members.round_trip_to(digest.region).value_or(digest.round_trip);
            message.digests.push_back(std::move(digest));
        }
    }
    return message;
}

void gossip::send_heartbeat(const fleet::due_heartbeat& due, base::time_point now)
{
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address(due.ip, problem);
    if (problem) {
        return;
    }
    m_datagrams.send(fleet::encode(make_heartbeat(due, now)), {address, m_core.settings.peer_port});
}

void gossip::tick(base::time_point now)
{
    const auto all_due = m_core.members.take_due(now);
    const bool sends_to_region = std::any_of(all_due.begin(), all_due.end(), [&](const auto& due) {
        const auto* known = m_core.members.find(due.ip);
        return known != nullptr && known->region == m_core.settings.self.region;
    });
    if (sends_to_region && now - m_load_sent_at >= fleet::roster::intra_region_interval) {
        m_load_sent_at = now;
        m_core.pool.note_reported(now);
    }
    for (const auto& due : all_due) {
        send_heartbeat(due, now);
    }
    for (const auto& ip : m_core.members.tick(now)) {
        write_log(m_core, log_event(m_core, "peer_silent").add("ip", ip));
        m_core.coordinator.release_all(m_core.pool, ip);
    }
}

void gossip::announce(base::time_point now)
{
    for (const auto& ip : m_core.members.region_ips(now)) {
        if (ip != m_core.settings.self.ip) {
            send_heartbeat({ip, fleet::digest_scope::none, false}, now);
        }
    }
}

} // namespace chicorylink::front
