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

/// Keeps a message of notes well within a datagram.
constexpr std::size_t notes_per_message = 128;

/// A round trip within a region and the work of a desk take a few milliseconds; waiting longer
/// costs the request more than a worse place.
constexpr base::milliseconds ask_limit{30};

/// How often the roster is searched for the desk; the silence of a delegate takes far longer to
/// show.
constexpr base::milliseconds desk_interval{25};

/// Datagrams get lost; a notice of a target is told so often.
constexpr int times_told_each = 2;

/// A desk that let an ask wait is left alone for so long: it may be frozen, cut off or gone.
constexpr base::milliseconds silent_time{500};

} // namespace

placement_link::placement_link(front_core& core, udp::socket socket)
    : m_core(core),
      m_datagrams(core, std::move(socket), "placement_messages_not_sent_total",
                  [this](auto bytes, const auto& from) { return take_message(bytes, from); })
{
}

const std::string& placement_link::desk_ip(base::time_point now)
{
    if (m_desk_ip.empty() || now - m_desk_found_at >= desk_interval) {
        m_desk_ip = m_core.members.delegates_of(m_core.settings.self.region, now).front();
        m_desk_found_at = now;
    }
    return m_desk_ip;
}

bool placement_link::is_desk(base::time_point now)
{
    return m_core.desk.is_in_use(now) && desk_ip(now) == m_core.settings.self.ip;
}

udp::endpoint placement_link::endpoint_of(const std::string& ip) const
{
    boost::system::error_code problem;
    return {boost::asio::ip::make_address(ip, problem), m_core.settings.placement_port()};
}

void placement_link::ask(fleet::placement_ask ask, handler on_advice, base::time_point now)
{
    ask.number = ++m_last_number;
    const auto& ip = desk_ip(now);
    const auto& self = m_core.settings.self;
    if (ip == self.ip) {
        const auto answer = m_core.desk.place(m_core.pool, self.ip, self.run, ask, now);
        on_advice({answer, ip, "desk"});
        return;
    }
    const auto silent = m_silent_until.find(ip);
    if (silent != m_silent_until.end() && now < silent->second) {
        on_advice({std::nullopt, ip, "desk_was_silent"});
        return;
    }
    fleet::placement_message message;
    message.run = self.run;
    m_waiting.insert_or_assign(ask.number, waiting_ask{ip, now, std::move(on_advice)});
    message.asks.push_back(std::move(ask));
    m_datagrams.send(fleet::encode(message), endpoint_of(ip));
}

base::result<void> placement_link::take_message(std::span<const std::uint8_t> bytes,
                                                const udp::endpoint& from)
{
    BOOST_LEAF_AUTO(message, fleet::decode_placement(bytes));
    const auto sender = from.address().to_string();
    if (!is_near(sender)) {
        return base::fail(base::error_kind::invalid_message,
                          "placement message of an address that is no VM of the region",
                          "check who can send to the placement port");
    }
    take_asks(message, sender, from);
    for (const auto& notice : message.notices) {
        take_target_notice(m_core, notice, sender, true, base::boot_now());
    }
    for (const auto& note : message.notes) {
        m_core.desk.take_note(m_core.pool, sender, note, base::boot_now());
    }
    for (const auto& answer : message.answers) {
        take_answer(answer, sender);
    }
    return {};
}

bool placement_link::is_near(const std::string& ip) const
{
    const auto* who = m_core.members.find(ip);
    return who != nullptr && who->region == m_core.settings.self.region;
}

void placement_link::take_asks(const fleet::placement_message& message, const std::string& sender,
                               const udp::endpoint& from)
{
    if (message.asks.empty()) {
        return;
    }
    fleet::placement_message reply;
    reply.run = m_core.settings.self.run;
    for (const auto& ask : message.asks) {
        reply.answers.push_back(
            m_core.desk.place(m_core.pool, sender, message.run, ask, base::boot_now()));
        m_core.counters.add("placements_total");
    }
    m_datagrams.send(fleet::encode(reply), from);
}

void placement_link::take_answer(const fleet::placement_answer& answer, const std::string& sender)
{
    const auto found = m_waiting.find(answer.number);
    if (found == m_waiting.end() || found->second.desk_ip != sender) {
        // Its request was placed here in the meantime; the note that it ended is on its way.
        m_core.counters.add("late_placements_total");
        return;
    }
    const auto asked = std::move(found->second);
    m_waiting.erase(found);
    asked.on_advice({answer, asked.desk_ip, "desk"});
}

void placement_link::note_begun(const reserved_place& place, base::time_point now)
{
    note(place, {place.number, fleet::placement_event::begun, std::nullopt, {}}, now);
}

void placement_link::note_ended(const reserved_place& place,
                                std::optional<fleet::target_outcome> outcome,
                                base::milliseconds took, base::time_point now)
{
    note(place, {place.number, fleet::placement_event::ended, outcome, took}, now);
}

void placement_link::note(const reserved_place& place, fleet::placement_note note,
                          base::time_point now)
{
    const auto& self = m_core.settings.self;
    if (place.desk_ip == self.ip) {
        // The pool was already told the outcome of this VM's own attempt.
        note.outcome = std::nullopt;
        m_core.desk.take_note(m_core.pool, self.ip, note, now);
        return;
    }
    m_notes[place.desk_ip].fresh.push_back(note);
}

void placement_link::tell(const fleet::target_notice& notice, base::time_point now)
{
    std::erase_if(m_notices, [&](const outgoing_notice& older) {
        return older.notice.target == notice.target;
    });
    m_notices.push_back({notice, now, 0});
}

void placement_link::tick(base::time_point now)
{
    // An answer that has arrived counts, however long this VM took to read it.
    m_datagrams.take_pending();
    give_up_asks(now);
    send_notes();
    send_notices(now);
    m_core.desk.tick(m_core.pool, now);
}

void placement_link::give_up_asks(base::time_point now)
{
    std::vector<std::pair<std::uint64_t, waiting_ask>> unanswered;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (now - entry->second.asked_at < ask_limit) {
            ++entry;
            continue;
        }
        unanswered.emplace_back(entry->first, std::move(entry->second));
        entry = m_waiting.erase(entry);
    }
    for (auto& [number, asked] : unanswered) {
        m_silent_until[asked.desk_ip] = now + silent_time;
        m_core.counters.add("placements_unanswered_total");
        // The place may have been reserved all the same.
        note_ended({asked.desk_ip, number}, std::nullopt, {}, now);
        asked.on_advice({std::nullopt, asked.desk_ip, "desk_is_silent"});
    }
}

void placement_link::send_notes()
{
    for (auto entry = m_notes.begin(); entry != m_notes.end();) {
        auto& notes = entry->second;
        fleet::placement_message message;
        message.run = m_core.settings.self.run;
        message.notes = std::move(notes.told);
        const auto count = std::min(notes.fresh.size(), notes_per_message);
        const auto end = notes.fresh.begin() + static_cast<std::ptrdiff_t>(count);
        notes.told.assign(notes.fresh.begin(), end);
        notes.fresh.erase(notes.fresh.begin(), end);
        message.notes.insert(message.notes.end(), notes.told.begin(), notes.told.end());
        m_datagrams.send(fleet::encode(message), endpoint_of(entry->first));
        entry = notes.told.empty() ? m_notes.erase(entry) : std::next(entry);
    }
}

void placement_link::send_notices(base::time_point now)
{
    if (m_notices.empty()) {
        return;
    }
    fleet::placement_message message;
    message.run = m_core.settings.self.run;
    for (auto& outgoing : m_notices) {
        auto notice = outgoing.notice;
        const auto since = std::chrono::duration_cast<base::milliseconds>(now - outgoing.noted_at);
        notice.wait = std::max(base::milliseconds{0}, notice.wait - since);
        message.notices.push_back(notice);
        ++outgoing.times_told;
    }
    std::erase_if(m_notices, [](const outgoing_notice& outgoing) {
        return outgoing.times_told >= times_told_each;
    });
    const auto bytes = fleet::encode(message);
    for (const auto& ip : m_core.members.delegates_of(m_core.settings.self.region, now)) {
        if (ip != m_core.settings.self.ip) {
            m_datagrams.send(bytes, endpoint_of(ip));
        }
    }
}

} // namespace chicorylink::front
