#include "chicorylink/front/placement_link.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/front/front_core.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace chicorylink::front {
namespace {

using udp = boost::asio::ip::udp;

/// Keeps a message of notes well below the size limit of a datagram.
constexpr std::size_t max_notes_per_message = 128;

/// A round trip within a region and the coordinator's work take a few milliseconds; a longer wait
/// would cost the request more than a worse placement.
constexpr base::milliseconds query_timeout{30};

/// How often the roster is searched for the coordinator; detecting that a delegate is silent takes
/// far longer.
constexpr base::milliseconds coordinator_lookup_interval{25};

/// Bounds each kind of speed report in a message, to 2 KB.
constexpr std::size_t max_paces_per_message = 64;

/// What targets stated is sent without notes after this time, a tenth of its validity.
constexpr base::milliseconds max_statement_delay{50};

/// How often each notice of a target is sent, since datagrams get lost.
constexpr int sends_per_notice = 2;

/// A coordinator that didn't answer is not queried for this long: it may be frozen, cut off or
/// gone.
constexpr base::milliseconds silent_coordinator_pause{500};

/// Queues what a target said in place of what it said before.
template <class Queue, class Content>
void replace_queued(Queue& queue, const Content& content, base::time_point now)
{
    std::erase_if(queue, [&](const auto& older) { return older.content.target == content.target; });
    queue.push_back({content, now, 0});
}

} // namespace

placement_link::placement_link(front_core& core, udp::socket socket)
    : m_core(core),
      m_datagrams(core, std::move(socket), "placement_messages_not_sent_total",
                  [this](auto bytes, const auto& from) { return handle_message(bytes, from); })
{
}

const std::string& placement_link::coordinator_ip(base::time_point now)
{
    if (m_coordinator_ip.empty() || now - m_coordinator_found_at >= coordinator_lookup_interval) {
        m_coordinator_ip = m_core.members.delegates_of(m_core.settings.self.region, now).front();
        m_coordinator_found_at = now;
    }
    return m_coordinator_ip;
}

bool placement_link::is_coordinator(base::time_point now)
{
    return m_core.coordinator.is_active(now) && coordinator_ip(now) == m_core.settings.self.ip;
}

udp::endpoint placement_link::endpoint_of(const std::string& ip) const
{
    boost::system::error_code problem;
    return {boost::asio::ip::make_address(ip, problem), m_core.settings.placement_port()};
}

void placement_link::send(const fleet::placement_message& message, const std::string& ip)
{
    m_datagrams.send(fleet::encode(message), endpoint_of(ip));
}

void placement_link::request_placement(fleet::placement_query query, handler on_result,
                                       base::time_point now)
{
    query.number = ++m_last_query_number;
    const auto& ip = coordinator_ip(now);
    const auto& self = m_core.settings.self;
    if (ip == self.ip) {
        const auto answer = m_core.coordinator.place(m_core.pool, self.ip, self.run, query, now);
        on_result({answer, ip, "desk"});
        return;
    }
    const auto silent = m_silent_until.find(ip);
    if (silent != m_silent_until.end() && now < silent->second) {
        on_result({std::nullopt, ip, "desk_was_silent"});
        return;
    }
    fleet::placement_message message;
    message.run = self.run;
    m_pending_queries.insert_or_assign(query.number, pending_query{ip, now, std::move(on_result)});
    message.queries.push_back(std::move(query));
    m_datagrams.send(fleet::encode(message), endpoint_of(ip));
}

base::result<void> placement_link::handle_message(std::span<const std::uint8_t> bytes,
                                                  const udp::endpoint& from)
{
    BOOST_LEAF_AUTO(message, fleet::decode_placement(bytes));
    const auto sender = from.address().to_string();
    if (!is_region_member(sender)) {
        return base::fail(base::error_kind::invalid_message,
                          "placement message from an address that belongs to no VM of the region",
                          "check which hosts can send to the placement port");
    }
    answer_queries(message, sender, from);
    for (const auto& notice : message.notices) {
        apply_target_notice(m_core, notice, sender, true, base::boot_now());
    }
    for (const auto& report : message.limits) {
        apply_limit_report(m_core, report, sender, false, base::boot_now());
    }
    apply_crash_reports(m_core, message.crashes, false, base::milliseconds{0}, base::boot_now());
    apply_paces(message, sender, base::boot_now());
    for (const auto& note : message.notes) {
        m_core.coordinator.apply_note(m_core.pool, sender, note, base::boot_now());
    }
    for (const auto& entry : message.tokens) {
        m_core.pool.on_tokens(entry.target, entry.tokens, entry.elapsed, base::boot_now());
    }
    m_core.stream_origins.receive(message, sender, base::boot_now());
    for (const auto& answer : message.answers) {
        handle_answer(answer, sender);
    }
    return {};
}

bool placement_link::is_region_member(const std::string& ip) const
{
    const auto* member = m_core.members.find(ip);
    return member != nullptr && member->region == m_core.settings.self.region;
}

void placement_link::answer_queries(const fleet::placement_message& message,
                                    const std::string& sender, const udp::endpoint& from)
{
    if (message.queries.empty()) {
        return;
    }
    fleet::placement_message reply;
    reply.run = m_core.settings.self.run;
    for (const auto& query : message.queries) {
        reply.answers.push_back(
            m_core.coordinator.place(m_core.pool, sender, message.run, query, base::boot_now()));
        m_core.counters.add("placements_total");
    }
    m_datagrams.send(fleet::encode(reply), from);
}

void placement_link::handle_answer(const fleet::placement_answer& answer, const std::string& sender)
{
    const auto found = m_pending_queries.find(answer.number);
    if (found == m_pending_queries.end() || found->second.coordinator_ip != sender) {
        // This VM has placed the request itself; a note that ends the reservation is on its way.
        m_core.counters.add("late_placements_total");
        return;
    }
    const auto pending = std::move(found->second);
    m_pending_queries.erase(found);
    pending.on_result({answer, pending.coordinator_ip, "desk"});
}

void placement_link::report_started(const reserved_place& place, base::milliseconds took,
                                    base::time_point now)
{
    fleet::target_pace start;
    start.number = place.number;
    start.took = took;
    if (place.coordinator_ip == m_core.settings.self.ip) {
        apply_start(place.coordinator_ip, start, now);
    }
    else if (auto& starts = m_notes[place.coordinator_ip].starts;
             starts.size() < max_paces_per_message) {
        starts.push_back(start);
    }
    queue_note(place, {place.number, fleet::placement_event::begun, std::nullopt, {}}, now);
}

void placement_link::report_ended(const reserved_place& place,
                                  std::optional<fleet::target_outcome> outcome,
                                  base::milliseconds took, base::time_point now)
{
    queue_note(place, {place.number, fleet::placement_event::ended, outcome, took}, now);
}

void placement_link::queue_note(const reserved_place& place, fleet::placement_note note,
                                base::time_point now)
{
    const auto& self = m_core.settings.self;
    if (place.coordinator_ip == self.ip) {
        // The pool already has the outcome of this VM's own attempt.
        m_core.coordinator.apply_own_note(m_core.pool, self.ip, note, now);
        return;
    }
    m_notes[place.coordinator_ip].unsent.push_back(note);
}

void placement_link::queue_notice(const fleet::target_notice& notice, base::time_point now)
{
    replace_queued(m_notices, notice, now);
}

void placement_link::queue_limit(const fleet::limit_report& report, base::time_point now)
{
    replace_queued(m_limits, report, now);
}

void placement_link::queue_statement(const fleet::target_pace& statement, base::time_point now)
{
    if (coordinator_ip(now) != m_core.settings.self.ip) {
        replace_queued(m_statements, statement, now);
    }
}

void placement_link::tick(base::time_point now)
{
    // Answers that have arrived are handled before queries time out, however late they are
    // read.
    m_datagrams.receive_pending();
    expire_queries(now);
    send_notes(now);
    send_notices(now);
    send_tokens(now);
    m_core.stream_origins.tick(now);
    m_core.coordinator.tick(m_core.pool, now);
    log_windows(now);
}

void placement_link::expire_queries(base::time_point now)
{
    std::vector<std::pair<std::uint64_t, pending_query>> unanswered;
    for (auto entry = m_pending_queries.begin(); entry != m_pending_queries.end();) {
        if (now - entry->second.sent_at < query_timeout) {
            ++entry;
            continue;
        }
        unanswered.emplace_back(entry->first, std::move(entry->second));
        entry = m_pending_queries.erase(entry);
    }
    for (auto& [number, pending] : unanswered) {
        m_silent_until[pending.coordinator_ip] = now + silent_coordinator_pause;
        m_core.counters.add("placements_unanswered_total");
        // The coordinator may have reserved a place even though its answer didn't arrive.
        report_ended({pending.coordinator_ip, number}, std::nullopt, {}, now);
        pending.on_result({std::nullopt, pending.coordinator_ip, "desk_is_silent"});
    }
}

void placement_link::take_statements(fleet::placement_message& message, base::time_point now)
{
    // The newest ones are at the end.
    const auto count = std::min(m_statements.size(), max_paces_per_message);
    const auto first = m_statements.end() - static_cast<std::ptrdiff_t>(count);
    for (auto queued = first; queued != m_statements.end(); ++queued) {
        message.paces.push_back(queued->content);
        message.paces.back().age +=
            std::chrono::duration_cast<base::milliseconds>(now - queued->queued_at);
    }
    m_statements.erase(first, m_statements.end());
    std::erase_if(m_statements, [&](const auto& queued) {
        return now - queued.queued_at > scheduling::max_statement_age;
    });
}

void placement_link::send_notes(base::time_point now)
{
    for (auto entry = m_notes.begin(); entry != m_notes.end();) {
        auto& notes = entry->second;
        fleet::placement_message message;
        message.run = m_core.settings.self.run;
        message.notes = std::move(notes.to_resend);
        const auto count = std::min(notes.unsent.size(), max_notes_per_message);
        const auto end = notes.unsent.begin() + static_cast<std::ptrdiff_t>(count);
        notes.to_resend.assign(notes.unsent.begin(), end);
        notes.unsent.erase(notes.unsent.begin(), end);
        message.notes.insert(message.notes.end(), notes.to_resend.begin(), notes.to_resend.end());
        message.paces = std::exchange(notes.starts, {});
        if (entry->first == coordinator_ip(now)) {
            take_statements(message, now);
        }
        m_datagrams.send(fleet::encode(message), endpoint_of(entry->first));
        entry = notes.to_resend.empty() ? m_notes.erase(entry) : std::next(entry);
    }
    if (!m_statements.empty() && now - m_statements.front().queued_at >= max_statement_delay &&
        coordinator_ip(now) != m_core.settings.self.ip) {
        fleet::placement_message message;
        message.run = m_core.settings.self.run;
        take_statements(message, now);
        m_datagrams.send(fleet::encode(message), endpoint_of(coordinator_ip(now)));
    }
}

void placement_link::send_notices(base::time_point now)
{
    auto crashes = m_core.quarantine.take_own(now);
    if (m_notices.empty() && m_limits.empty() && crashes.empty()) {
        return;
    }
    const auto since = [&](base::time_point then) {
        return std::chrono::duration_cast<base::milliseconds>(now - then);
    };
    const auto is_sent = [](const auto& queued) { return queued.times_sent >= sends_per_notice; };
    fleet::placement_message message;
    message.run = m_core.settings.self.run;
    message.crashes = std::move(crashes);
    for (auto& queued : m_notices) {
        auto notice = queued.content;
        notice.wait = std::max(base::milliseconds{0}, notice.wait - since(queued.queued_at));
        message.notices.push_back(notice);
        ++queued.times_sent;
    }
    for (auto& queued : m_limits) {
        auto report = queued.content;
        report.age += since(queued.queued_at);
        message.limits.push_back(report);
        ++queued.times_sent;
    }
    std::erase_if(m_notices, is_sent);
    std::erase_if(m_limits, is_sent);
    const auto bytes = fleet::encode(message);
    for (const auto& ip : m_core.members.delegates_of(m_core.settings.self.region, now)) {
        if (ip != m_core.settings.self.ip) {
            m_datagrams.send(bytes, endpoint_of(ip));
        }
    }
}

} // namespace chicorylink::front
