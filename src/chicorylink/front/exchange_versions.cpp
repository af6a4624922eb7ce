#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

// The part of `exchange` that keeps a stream at the software version that began it.

namespace chicorylink::front {
namespace {

/// How much longer than two tries of its caller a stream may be taken up.
constexpr base::milliseconds take_up_margin{10'000};

std::optional<fleet::version_hash> stated_version(const header_fields& fields)
{
    const auto* text = find_field(fields, stream_version_field);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (problem != std::errc{} || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return fleet::version_hash{value};
}

} // namespace

bool exchange::find_stream_version(base::time_point now)
{
    const auto& names = m_core.protocol.names;
    const auto* last_event = find_field(m_request.head.fields, names.last_event_id);
    if (!is_stream() || last_event == nullptr || last_event->empty()) {
        return false;
    }
    m_is_take_up = true;
    if (m_request.from_peer()) {
        m_version = stated_version(m_request.head.fields);
        if (m_version) {
            return false;
        }
    }
    const auto* resumed = find_field(m_request.head.fields, names.resumed_request);
    const bool names_stream = resumed != nullptr && !resumed->empty();
    m_stream = fleet::hash_of_stream(names_stream ? *resumed : m_request.id);
    m_core.stream_origins.find(
        m_stream, m_resolved.service->name,
        [self = shared_from_this()](const known_version& found) { self->on_version(found); }, now);
    return true;
}

void exchange::on_version(const known_version& found)
{
    const auto now = base::boot_now();
    if (m_is_finished || m_caller == nullptr) {
        return;
    }
    m_core.counters.add(fmt::format("stream_take_ups_total{{known_by=\"{}\"}}", found.known_by));
    const auto* resumed = find_field(m_request.head.fields, m_core.protocol.names.resumed_request);
    const auto& service = m_resolved.service->name;
    const auto confirmed = m_core.state.targets_confirmed_at();
    write_log(
        m_core,
        log_event(m_core, "stream_take_up")
            .add("request", m_request.id)
            .add("resumes", resumed == nullptr ? std::string_view{} : std::string_view{*resumed})
            .add("software_version", found.version
                                         ? m_core.stream_origins.text_of(service, *found.version)
                                         : std::string{})
            .add("known_by", found.known_by)
            .add("waited_ms",
                 std::chrono::duration_cast<base::milliseconds>(now - m_request.arrived_at).count())
            .add("confirmed_ms_ago",
                 confirmed
                     ? std::chrono::duration_cast<base::milliseconds>(now - *confirmed).count()
                     : -1));
    if (!found.version) {
        refuse({unavailable_status, "stream_version_unknown",
                retry_delay(fleet::not_ready_retry_after, fleet::retry_jitter::queue)},
               now);
        return;
    }
    m_version = found.version;
    dispatch(now);
}

bool exchange::has_version(const fleet::target_entry& entry) const
{
    return !m_version || fleet::hash_of(entry.service, entry.version) == *m_version;
}

bool exchange::has_version_in(const fleet::region_name& region) const
{
    if (!m_version) {
        return true;
    }
    const auto& regions = m_core.settings.regions;
    const auto& targets = m_core.state.targets();
    return std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
        const auto& entry = target.second;
        const auto found = regions.find(entry.data_center);
        return entry.service == m_resolved.service->name && !entry.leaving && has_version(entry) &&
               found != regions.end() && found->second == region;
    });
}

void exchange::note_sent_version()
{
    if (const auto* target = m_core.pool.find(m_attempt->target)) {
        m_attempt->version = fleet::hash_of(target->entry.service, target->entry.version);
    }
}

void exchange::read_version(const message_head& head)
{
    if (m_attempt->target.empty()) {
        m_attempt->version = stated_version(head.fields);
        return;
    }
    const auto* target = m_core.pool.find(m_attempt->target);
    const bool has_changed =
        target != nullptr &&
        (target->entry.started_ms != m_attempt->run.started_ms ||
         fleet::hash_of(target->entry.service, target->entry.version) != m_attempt->version);
    if (has_changed) {
        // The target may have started again before the request reached it.
        m_attempt->version.reset();
    }
}

void exchange::write_version(header_fields& fields) const
{
    remove_fields(fields, stream_version_field);
    if (m_request.from_peer() && m_attempt->version) {
        fields.push_back(
            {std::string{stream_version_field}, std::to_string(m_attempt->version->value())});
    }
}

bool exchange::is_same_version() const
{
    return !m_version || m_attempt->version == m_version;
}

void exchange::note_stream_version(base::time_point now)
{
    if (!m_version) {
        m_version = m_attempt->version;
    }
    if (!m_version || m_request.from_peer() || !fleet::may_retry(*m_resolved.route)) {
        return;
    }
    const auto stream = m_is_take_up ? m_stream : fleet::hash_of_stream(m_request.id);
    m_core.stream_origins.record(stream, *m_version, 2 * m_resolved.route->timeout + take_up_margin,
                                 now);
}

} // namespace chicorylink::front
