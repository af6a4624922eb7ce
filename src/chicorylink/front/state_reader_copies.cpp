#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/item_copy.hpp"
#include "chicorylink/front/state_reader.hpp"

#include <memory>

// The part of `state_reader` that decides when to copy items from other VMs, and from which.

namespace chicorylink::front {
namespace {

/// A configuration that has been unconfirmed for this long is confirmed through a copy from a peer;
/// further copies follow at `copy_interval`. Shorter than the time before a watch of the store.
constexpr base::milliseconds unconfirmed_before_copy{2400};
constexpr base::milliseconds copy_interval{700};
constexpr base::milliseconds copy_timeout{600};

/// A peer whose own confirmation is older than this is of no use.
constexpr base::milliseconds max_confirmation_age{3000};

} // namespace

const std::pair<const std::string, fleet::member>*
state_reader::confirmed_peer(base::time_point now) const
{
    const std::pair<const std::string, fleet::member>* best = nullptr;
    for (const auto& entry : m_core.members.members()) {
        const auto& peer = entry.second;
        if (!fleet::roster::is_live(peer, now) || !peer.confirmed_age ||
            *peer.confirmed_age > max_confirmation_age) {
            continue;
        }
        if (best == nullptr || *peer.confirmed_age < *best->second.confirmed_age) {
            best = &entry;
        }
    }
    return best;
}

void state_reader::on_heartbeat(const fleet::heartbeat& message)
{
    const auto& config = m_core.state.config();
    const bool confirms = message.confirmed_age && *message.confirmed_age <= max_confirmation_age;
    if (confirms && config && message.version == config->version() && message.echo_ms > 0) {
        // The sender had received our heartbeat that it echoes when it stated this age, so its
        // confirmation is at least as recent as that heartbeat's send time minus the age.
        const base::time_point echoed{base::milliseconds{message.echo_ms}};
        m_core.state.confirm(echoed - *message.confirmed_age, base::boot_now());
    }
    const auto complete_up_to = m_core.state.as_of();
    if (message.targets_age && message.echo_ms > 0 && complete_up_to.number != 0 &&
        message.items_revision.era == complete_up_to.era &&
        message.items_revision <= complete_up_to) {
        const base::time_point echoed{base::milliseconds{message.echo_ms}};
        m_core.state.confirm_targets(echoed - *message.targets_age, base::boot_now());
    }
    note_contact(message);
    const bool reads_store =
        (m_store.is_busy() || m_is_delayed) && !m_is_store_lost && m_watch_from.number != 0;
    const auto known = m_core.state.items_revision();
    auto newest = message.items_revision;
    if (newest.era == fleet::store_era{}) {
        newest.era = known.era;
    }
    const bool has_newer_items = confirms && !reads_store && newest > known;
    // A store that returned from an older copy holds an older version than the one in force.
    const auto version = config ? config->version() : base::config_version{};
    const bool has_lost_configuration = message.version > version && newest <= known;
    const bool may_copy = has_newer_items || (has_lost_configuration &&
                                              base::boot_now() - m_copied_at >= copy_interval);
    if (may_copy && m_core.state.as_of().number != 0) {
        copy_from(message.from.ip, items_to_copy(newest, m_core.state.as_of(), version));
    }
}

void state_reader::note_contact(const fleet::heartbeat& message)
{
    const auto now = base::boot_now();
    const bool is_local = message.from.region == m_core.settings.self.region;
    if (is_local && message.failed_read_age) {
        m_core.state.note_failed_read_of_peer(now - *message.failed_read_age);
    }
    if (!message.confirmed_age || message.echo_ms == 0) {
        return;
    }
    // Both ends lie within the sender's span, whatever time the heartbeat took.
    const auto until =
        base::time_point{base::milliseconds{message.echo_ms}} - *message.confirmed_age;
    const auto since = message.contact_age ? now - *message.contact_age : until;
    m_core.state.note_contact({{since, until}, is_local});
}

void state_reader::tick(base::time_point now)
{
    watch_if_due();
    const auto confirmed = m_core.state.confirmed_at();
    const bool unconfirmed = !confirmed || now - *confirmed > unconfirmed_before_copy;
    const bool tried_store = m_is_store_lost || m_last_response_at;
    if (!unconfirmed || !tried_store || now - m_copied_at < copy_interval) {
        return;
    }
    if (const auto* best = confirmed_peer(now)) {
        copy_from(best->first, {});
    }
}

void state_reader::copy_from(const std::string& ip, const item_copy_query& query)
{
    if (m_peer && m_peer->is_busy()) {
        return;
    }
    m_copied_at = base::boot_now();
    const auto& control = m_core.settings.control_address;
    const auto address = ip + control.substr(control.rfind(':'));
    if (!m_peer || m_peer->address() != address) {
        m_peer = std::make_unique<http_get_client>(m_core.loop, address);
    }
    m_core.counters.add("peer_copies_total");
    m_peer->get(item_copy_target(query), copy_timeout,
                [this](const read_result& result) { on_copy(result); });
}

} // namespace chicorylink::front
