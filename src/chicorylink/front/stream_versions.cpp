#include "chicorylink/front/stream_versions.hpp"

#include "chicorylink/front/front_core.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace chicorylink::front {
namespace {

/// Longest time from the first event of a stream to the moment at which its caller takes it up.
constexpr base::milliseconds longest_stream{30'000};

/// A question that isn't answered by then is repeated once, since datagrams get lost.
constexpr base::milliseconds repeat_delay{20};

/// A round trip within a region takes a few milliseconds; then the published state counts.
constexpr base::milliseconds answer_time{50};

/// A loaded VM that knows the stream answers within this time.
constexpr base::milliseconds longest_answer_time{300};

/// How long a caller waits until the published state is confirmed: two long polls of the store and
/// two heartbeats.
constexpr base::milliseconds confirmation_time{1800};

/// Bounds what origins take in a message, to 2 KB, and what waits for one VM.
constexpr std::size_t max_origins_per_message = 80;
constexpr std::size_t max_unsent_origins = 4096;

/// Callers that take up streams at the same time; further ones are refused.
constexpr std::size_t max_searches = 4096;

std::int64_t calendar_ms()
{
    return std::chrono::duration_cast<base::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void stream_versions::record(fleet::stream_hash stream, fleet::version_hash version,
                             base::milliseconds stays, base::time_point now)
{
    m_origins.record(stream, version, now + stays);
    for (const auto& ip : fleet::origin_keepers(stream, m_core.members.region_ips(now))) {
        if (ip == m_core.settings.self.ip) {
            continue;
        }
        auto& unsent = m_outgoing[ip].unsent;
        if (unsent.size() < max_unsent_origins) {
            unsent.push_back({stream, version, stays});
        }
    }
}

void stream_versions::find(fleet::stream_hash stream, const fleet::service_name& service,
                           handler on_found, base::time_point now)
{
    if (const auto recorded = m_origins.find(stream, now)) {
        on_found({recorded, "recorded"});
        return;
    }
    if (m_searches.size() >= max_searches) {
        on_found({std::nullopt, "unknown"});
        return;
    }
    search begun{stream, service, now, {}, false, std::move(on_found)};
    for (const auto& ip : fleet::origin_keepers(stream, m_core.members.region_ips(now))) {
        if (ip != m_core.settings.self.ip) {
            begun.asked.insert(ip);
        }
    }
    const auto number = ++m_last_number;
    ask(number, begun);
    m_searches.emplace(number, std::move(begun));
}

void stream_versions::ask(std::uint64_t number, const search& asking)
{
    fleet::placement_message message;
    message.run = m_core.settings.self.run;
    message.origin_queries.push_back({number, asking.stream});
    for (const auto& ip : asking.asked) {
        m_core.placements->send(message, ip);
    }
}

void stream_versions::receive(const fleet::placement_message& message, const std::string& sender,
                              base::time_point now)
{
    for (const auto& origin : message.origins) {
        m_origins.record(origin.stream, origin.version, now + origin.stays);
    }
    fleet::placement_message reply;
    reply.run = m_core.settings.self.run;
    for (const auto& query : message.origin_queries) {
        reply.origin_answers.push_back({query.number, m_origins.find(query.stream, now)});
    }
    if (!reply.origin_answers.empty()) {
        m_core.placements->send(reply, sender);
    }
    for (const auto& answer : message.origin_answers) {
        const auto found = m_searches.find(answer.number);
        if (found == m_searches.end() || found->second.asked.erase(sender) == 0 ||
            !answer.version) {
            continue;
        }
        const auto ended = std::move(found->second);
        m_searches.erase(found);
        ended.on_found({answer.version, "told"});
    }
}

std::optional<fleet::version_hash> stream_versions::proved_version(const search& pending,
                                                                   base::time_point now) const
{
    const auto confirmed = m_core.state.targets_confirmed_at();
    if (!confirmed || *confirmed < pending.begun_at) {
        return std::nullopt;
    }
    if (const auto only = m_history.only_version(pending.service, now - longest_stream)) {
        return only;
    }
    return fleet::long_serving_version(m_core.state.targets(), pending.service, longest_stream,
                                       calendar_ms());
}

std::optional<known_version> stream_versions::decide(const search& pending,
                                                     base::time_point now) const
{
    const auto waited = now - pending.begun_at;
    if (const auto recorded = m_origins.find(pending.stream, now)) {
        return known_version{recorded, "recorded"};
    }
    if (pending.asked.empty() || waited >= answer_time) {
        if (const auto proved = proved_version(pending, now)) {
            return known_version{proved, "only_version"};
        }
    }
    const auto confirmed = m_core.state.targets_confirmed_at();
    const bool is_confirmed = confirmed && *confirmed >= pending.begun_at;
    const bool all_answered = pending.asked.empty() || waited >= longest_answer_time;
    if (waited >= confirmation_time || (is_confirmed && all_answered)) {
        return known_version{std::nullopt, "unknown"};
    }
    return std::nullopt;
}

void stream_versions::note_state(base::time_point now)
{
    if (const auto confirmed = m_core.state.targets_confirmed_at()) {
        m_history.note(m_core.state.targets(), m_core.state.generation(), *confirmed, now);
    }
}

void stream_versions::tick(base::time_point now)
{
    note_state(now);
    m_origins.drop_expired(now);
    m_core.counters.set("stream_origins_held", static_cast<double>(m_origins.size()));
    send_origins();
    std::vector<std::pair<handler, known_version>> decided;
    for (auto entry = m_searches.begin(); entry != m_searches.end();) {
        auto& pending = entry->second;
        if (const auto found = decide(pending, now)) {
            decided.emplace_back(std::move(pending.on_found), *found);
            entry = m_searches.erase(entry);
            continue;
        }
        if (!pending.is_repeated && now - pending.begun_at >= repeat_delay) {
            pending.is_repeated = true;
            ask(entry->first, pending);
        }
        ++entry;
    }
    for (const auto& [on_found, found] : decided) {
        on_found(found);
    }
}

void stream_versions::send_origins()
{
    for (auto entry = m_outgoing.begin(); entry != m_outgoing.end();) {
        auto& origins = entry->second;
        fleet::placement_message message;
        message.run = m_core.settings.self.run;
        message.origins = std::move(origins.to_resend);
        const auto count = std::min(origins.unsent.size(), max_origins_per_message);
        const auto end = origins.unsent.begin() + static_cast<std::ptrdiff_t>(count);
        origins.to_resend.assign(origins.unsent.begin(), end);
        origins.unsent.erase(origins.unsent.begin(), end);
        message.origins.insert(message.origins.end(), origins.to_resend.begin(),
                               origins.to_resend.end());
        m_core.placements->send(message, entry->first);
        entry = origins.to_resend.empty() ? m_outgoing.erase(entry) : std::next(entry);
    }
}

} // namespace chicorylink::front
