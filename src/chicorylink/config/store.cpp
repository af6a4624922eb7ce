#include "chicorylink/config/store.hpp"

#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

namespace chicorylink::config {
namespace {

/// Names the duty of watching the service among the duties of a data center.
constexpr std::uint64_t watch_duty = 0x77617463;

/// A newcomer first listens to its region; if it hears no version for so long, it asks the
/// service, the VM on duty before the others.
constexpr base::milliseconds duty_patience{1'000};
constexpr base::milliseconds newcomer_patience{4'000};

bool may_hold_duty(const membership::member& which)
{
    return which.state == membership::member_state::live && which.reaches_service;
}

} // namespace

store::store(settings own, base::time_point now)
    : m_own(own), m_next_call(now), m_catching_up_since(now), m_next_query(now)
{
}

base::config_version store::version() const
{
    return m_book ? m_book->version() : base::config_version{};
}

effects store::tick(const membership::view& seen, base::time_point now)
{
    effects out;
    notice_wake(seen, now, out);
    hear_view(seen);
    consider_watch(seen, now, out);
    consider_download(seen, now, out);
    consider_ready(seen, now, out);
    announce(seen, out);
    m_status.in_force = version();
    m_status.newest_heard = newest_heard();
    return out;
}

effects store::receive(const message& received, const membership::view& seen, base::time_point now)
{
    effects out;
    std::visit([&](const auto& body) { handle(body, now, out); }, received);
    consider_download(seen, now, out);
    consider_ready(seen, now, out);
    announce(seen, out);
    return out;
}

effects store::on_watch(watch_result result, std::string_view text, const membership::view& seen,
                        base::time_point now)
{
    effects out;
    m_call_open = false;
    ++m_status.service_calls;
    if (result == watch_result::overloaded) {
        m_next_call = now + m_own.rate_pause;
        return out;
    }
    note_service(result != watch_result::failed, now, out);
    if (result == watch_result::failed) {
        m_next_call = now + m_own.retry;
    }
    const bool awaited = m_download && m_download->source == base::vm_id{} && !m_download->manifest;
    if (awaited && result != watch_result::newer) {
        source_failed(now);
    }
    if (result == watch_result::newer) {
        const auto manifest = base::leaf::try_handle_all(
            [&]() -> base::result<std::optional<rules::manifest>> {
                BOOST_LEAF_AUTO(parsed, rules::parse_manifest(text));
                return std::optional{std::move(parsed)};
            },
            [] { return std::optional<rules::manifest>{}; });
        if (!manifest) {
            m_next_call = now + m_own.rate_pause;
            note_corrupt("the service's manifest can't be read", now, out);
            return out;
        }
        m_service_version = std::max(m_service_version, manifest->version);
        const bool behind = manifest->version < version();
        if (behind && !m_status.service_behind) {
            out.events.push_back({event_kind::service_behind, manifest->version,
                                  "the service shows an older version than is in force"});
        }
        m_status.service_behind = behind;
        const bool better = !m_download || awaited || manifest->version > m_download->version;
        if (manifest->version > version() && !m_rejected.contains(manifest->version) && better) {
            m_download = download{.version = manifest->version, .progress_at = now};
            take_manifest(*manifest, std::string(text), now, out);
        }
        // An answer that does not help must not be asked for again at once.
        m_next_call = manifest->version > version() ? now : now + m_own.rate_pause;
    }
    consider_watch(seen, now, out);
    consider_ready(seen, now, out);
    announce(seen, out);
    return out;
}

void store::consider_watch(const membership::view& seen, base::time_point now, effects& out)
{
    m_status.on_duty = is_on_duty(seen);
    const bool newcomer = must_ask_service(now);
    const bool alone_unreached = !m_status.service_reachable;
    if (m_call_open || now < m_next_call || m_download ||
        !(m_status.on_duty || newcomer || alone_unreached)) {
        return;
    }
    auto after = version();
    if (!m_rejected.empty()) {
        after = std::max(after, m_rejected.rbegin()->first);
    }
    const bool first = newcomer || alone_unreached;
    out.watch = {.after = after, .wait = first ? base::milliseconds{0} : m_own.watch_wait};
    m_call_open = true;
}

bool store::must_ask_service(base::time_point now) const
{
    if (m_ready || m_service_answered) {
        return false;
    }
    const auto version_known = [](const auto& entry) {
        return entry.second != base::config_version{};
    };
    const auto patience = m_status.on_duty ? duty_patience : newcomer_patience;
    return std::ranges::none_of(m_heard, version_known) && now - m_catching_up_since >= patience;
}

bool store::is_on_duty(const membership::view& seen) const
{
    const auto* self = membership::find(seen, m_own.self);
    if (self == nullptr || !m_status.service_reachable ||
        self->state != membership::member_state::live) {
        return false;
    }
    std::vector<base::vm_id> candidates{m_own.self};
    for (const auto& each : seen.members) {
        const bool here = each.data_center == self->data_center && each.id != m_own.self;
        if (here && may_hold_duty(each)) {
            candidates.push_back(each.id);
        }
    }
    const auto key = base::hash_pair(self->data_center.value(), watch_duty);
    return membership::first_by_rendezvous(candidates, key, 1).front() == m_own.self;
}

void store::note_service(bool answered, base::time_point now, effects& out)
{
    if (answered) {
        m_status.service_answered_at = now;
        m_service_answered = true;
    }
    else {
        ++m_status.service_failures;
    }
    if (answered != m_status.service_reachable) {
        const auto kind = answered ? event_kind::service_back : event_kind::service_lost;
        out.events.push_back({kind, version(), "the configuration service"});
    }
    m_status.service_reachable = answered;
}

void store::announce(const membership::view& seen, effects& out)
{
    if (!m_must_announce) {
        return;
    }
    m_must_announce = false;
    const auto* self = membership::find(seen, m_own.self);
    if (self == nullptr) {
        return;
    }
    std::set<base::vm_id> receivers;
    for (const auto& each : seen.members) {
        if (each.data_center == self->data_center) {
            receivers.insert(each.id);
        }
        else if (m_status.on_duty) {
            const auto delegates = membership::delegates_of(seen, each.data_center);
            receivers.insert(delegates.begin(), delegates.end());
        }
    }
    receivers.erase(m_own.self);
    for (const auto id : receivers) {
        out.post(id, announcement{myself(), version()});
    }
}

void store::notice_wake(const membership::view& seen, base::time_point now, effects& out)
{
    if (seen.woke_at == m_woke_at) {
        return;
    }
    m_woke_at = seen.woke_at;
    m_woken = true;
    m_ready = false;
    m_catching_up_since = now;
    m_next_query = now;
    m_answered.clear();
    m_service_answered = false;
    m_status.ready = false;
    if (m_download) {
        m_download->progress_at = now;
    }
    out.events.push_back({event_kind::catching_up, version(), "the process woke from a pause"});
}

base::config_version store::newest_heard() const
{
    auto newest = std::max(version(), m_service_version);
    for (const auto& [vm, heard] : m_heard) {
        newest = std::max(newest, heard);
    }
    return newest;
}

void store::consider_ready(const membership::view& seen, base::time_point now, effects& out)
{
    if (m_ready) {
        return;
    }
    const auto* self = membership::find(seen, m_own.self);
    if (self == nullptr) {
        return;
    }
    bool all_answered = true;
    bool any_peer = false;
    auto newest_of_peers = base::config_version{};
    for (const auto& each : seen.members) {
        const bool peer = each.region == self->region && each.id != m_own.self &&
                          each.state != membership::member_state::gone;
        if (!peer) {
            continue;
        }
        any_peer = true;
        all_answered = all_answered && m_answered.contains(each.id);
        if (now >= m_next_query && !m_answered.contains(each.id)) {
            out.post(each.id, version_query{myself()});
        }
    }
    if (now >= m_next_query) {
        m_next_query = now + m_own.query;
    }
    for (const auto& [vm, heard] : m_heard) {
        if (!m_rejected.contains(heard)) {
            newest_of_peers = std::max(newest_of_peers, heard);
        }
    }
    const bool waited = now - m_catching_up_since >= m_own.newcomer_wait;
    const bool settled = waited || (any_peer && all_answered);
    const bool informed =
        newest_of_peers != base::config_version{} || m_service_answered || (m_woken && waited);
    if (m_book && version() >= newest_of_peers && settled && informed) {
        m_ready = true;
        m_status.ready = true;
        out.events.push_back({event_kind::ready, version(), "the configuration is up to date"});
    }
}

} // namespace chicorylink::config
