#include "chicorylink/config/store.hpp"

#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

namespace chicorylink::config {
namespace {

/// Hash key of the duty to watch the service, among the duties of a data center.
constexpr std::uint64_t watch_duty = 0x77617463;

/// A VM that is catching up first waits for versions from its region. Without any, it queries the
/// service after this delay, which is shorter for the VM on duty.
constexpr base::milliseconds on_duty_query_delay{1'000};
constexpr base::milliseconds catch_up_query_delay{4'000};

bool can_be_on_duty(const membership::member& candidate)
{
    return candidate.state == membership::member_state::live && candidate.reaches_service;
}

} // namespace

store::store(settings own, base::time_point now)
    : m_settings(own), m_next_call(now), m_catching_up_since(now), m_next_query(now)
{
}

base::config_version store::version() const
{
    return m_book ? m_book->version() : base::config_version{};
}

effects store::tick(const membership::view& snapshot, base::time_point now)
{
    effects out;
    detect_resume(snapshot, now, out);
    note_view_versions(snapshot);
    maybe_start_watch(snapshot, now, out);
    maybe_start_download(snapshot, now, out);
    maybe_become_ready(snapshot, now, out);
    announce(snapshot, out);
    m_status.in_force = version();
    m_status.newest_heard = newest_heard();
    return out;
}

effects store::receive(const message& received, const membership::view& snapshot,
                       base::time_point now)
{
    effects out;
    std::visit([&](const auto& body) { handle(body, now, out); }, received);
    maybe_start_download(snapshot, now, out);
    maybe_become_ready(snapshot, now, out);
    announce(snapshot, out);
    return out;
}

effects store::on_watch(watch_result result, std::string_view text,
                        const membership::view& snapshot, base::time_point now)
{
    effects out;
    m_call_in_progress = false;
    ++m_status.service_calls;
    if (result == watch_result::overloaded) {
        m_next_call = now + m_settings.rate_limit_delay;
        return out;
    }
    record_service_result(result != watch_result::failed, now, out);
    if (result == watch_result::failed) {
        m_next_call = now + m_settings.retry;
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
            m_next_call = now + m_settings.rate_limit_delay;
            record_corrupt_content("the service's manifest can't be read", now, out);
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
            on_manifest(*manifest, std::string(text), now, out);
        }
        // Does not repeat the call at once if the answer was not newer than the version in force.
        m_next_call = manifest->version > version() ? now : now + m_settings.rate_limit_delay;
    }
    maybe_start_watch(snapshot, now, out);
    maybe_become_ready(snapshot, now, out);
    announce(snapshot, out);
    return out;
}

void store::maybe_start_watch(const membership::view& snapshot, base::time_point now, effects& out)
{
    m_status.on_duty = is_on_duty(snapshot);
    const bool should_query = should_query_service(now);
    const bool service_unreachable = !m_status.service_reachable;
    if (m_call_in_progress || now < m_next_call || m_download ||
        !(m_status.on_duty || should_query || service_unreachable)) {
        return;
    }
    auto after = version();
    if (!m_rejected.empty()) {
        after = std::max(after, m_rejected.rbegin()->first);
    }
    const bool first = should_query || service_unreachable;
    out.watch = {.after = after, .wait = first ? base::milliseconds{0} : m_settings.watch_wait};
    m_call_in_progress = true;
}

bool store::should_query_service(base::time_point now) const
{
    if (m_ready || m_service_answered) {
        return false;
    }
    const auto version_known = [](const auto& entry) {
        return entry.second != base::config_version{};
    };
    const auto delay = m_status.on_duty ? on_duty_query_delay : catch_up_query_delay;
    return std::ranges::none_of(m_peer_versions, version_known) &&
           now - m_catching_up_since >= delay;
}

bool store::is_on_duty(const membership::view& snapshot) const
{
    const auto* self = membership::find(snapshot, m_settings.self);
    if (self == nullptr || !m_status.service_reachable ||
        self->state != membership::member_state::live) {
        return false;
    }
    std::vector<base::vm_id> candidates{m_settings.self};
    for (const auto& each : snapshot.members) {
        const bool here = each.data_center == self->data_center && each.id != m_settings.self;
        if (here && can_be_on_duty(each)) {
            candidates.push_back(each.id);
        }
    }
    const auto key = base::hash_pair(self->data_center.value(), watch_duty);
    return membership::first_by_rendezvous(candidates, key, 1).front() == m_settings.self;
}

void store::record_service_result(bool answered, base::time_point now, effects& out)
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

void store::announce(const membership::view& snapshot, effects& out)
{
    if (!m_announcement_pending) {
        return;
    }
    m_announcement_pending = false;
    const auto* self = membership::find(snapshot, m_settings.self);
    if (self == nullptr) {
        return;
    }
    std::set<base::vm_id> receivers;
    for (const auto& each : snapshot.members) {
        if (each.data_center == self->data_center) {
            receivers.insert(each.id);
        }
        else if (m_status.on_duty) {
            const auto delegates = membership::delegates_of(snapshot, each.data_center);
            receivers.insert(delegates.begin(), delegates.end());
        }
    }
    receivers.erase(m_settings.self);
    for (const auto id : receivers) {
        out.post(id, announcement{self_sender(), version()});
    }
}

void store::detect_resume(const membership::view& snapshot, base::time_point now, effects& out)
{
    if (snapshot.resumed_at == m_resumed_at) {
        return;
    }
    m_resumed_at = snapshot.resumed_at;
    m_resumed = true;
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
    for (const auto& [vm, reported_version] : m_peer_versions) {
        newest = std::max(newest, reported_version);
    }
    return newest;
}

void store::maybe_become_ready(const membership::view& snapshot, base::time_point now, effects& out)
{
    if (m_ready) {
        return;
    }
    const auto* self = membership::find(snapshot, m_settings.self);
    if (self == nullptr) {
        return;
    }
    bool all_answered = true;
    bool any_peer = false;
    auto newest_of_peers = base::config_version{};
    for (const auto& each : snapshot.members) {
        const bool peer = each.region == self->region && each.id != m_settings.self &&
                          each.state != membership::member_state::gone;
        if (!peer) {
            continue;
        }
        any_peer = true;
        all_answered = all_answered && m_answered.contains(each.id);
        if (now >= m_next_query && !m_answered.contains(each.id)) {
            out.post(each.id, version_query{self_sender()});
        }
    }
    if (now >= m_next_query) {
        m_next_query = now + m_settings.query;
    }
    for (const auto& [vm, reported_version] : m_peer_versions) {
        if (!m_rejected.contains(reported_version)) {
            newest_of_peers = std::max(newest_of_peers, reported_version);
        }
    }
    const bool waited = now - m_catching_up_since >= m_settings.catch_up_timeout;
    const bool settled = waited || (any_peer && all_answered);
    const bool informed =
        newest_of_peers != base::config_version{} || m_service_answered || (m_resumed && waited);
    if (m_book && version() >= newest_of_peers && settled && informed) {
        m_ready = true;
        m_status.ready = true;
        out.events.push_back({event_kind::ready, version(), "the configuration is up to date"});
    }
}

} // namespace chicorylink::config
