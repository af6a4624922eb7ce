#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_bytes.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

// The part of an exchange that decides where a request goes and sends it.

namespace chicorylink::front {
namespace {

/// A connection within a region is there after about two round trips; longer means that the
/// opening packet was dropped, and its repetition comes after a second.
constexpr base::milliseconds near_connect_limit{300};
/// The same between regions, for a loaded link.
constexpr base::milliseconds far_connect_limit{800};

} // namespace

std::optional<refusal> exchange::check(base::time_point now)
{
    const auto& names = m_core.protocol.names;
    auto found = resolve(m_core.state.config(), m_asked, names);
    if (const auto* refused = std::get_if<refusal>(&found)) {
        return *refused;
    }
    m_resolved = std::get<resolved_request>(found);
    if (m_resolved.team != nullptr && !keys_are_fresh(m_core, now)) {
        return refusal{unavailable_status, "configuration_not_confirmed", fleet::not_ready_return};
    }
    return std::nullopt;
}

std::optional<refusal> exchange::check_quota(base::time_point now)
{
    if (m_asked.is_charged_elsewhere() || m_resolved.team == nullptr || m_charged ||
        m_core.quota.has_room(*m_resolved.team, now)) {
        return std::nullopt;
    }
    return refusal{
        too_many_requests_status, "quota",
        return_after(m_core.quota.room_in(*m_resolved.team, now), fleet::return_spread::queue)};
}

fleet::region_request exchange::needs(base::time_point now) const
{
    return {m_resolved.service->is_engine,
            m_prompt ? m_prompt->prompt_tokens : 0,
            m_prompt ? fleet::shared_tokens(*m_prompt) : 0,
            m_prompt ? m_prompt->session : base::hash_name(m_asked.id),
            m_resolved.route->latency_objective,
            time_left(now),
            m_is_return,
            m_core.settings.self.region,
            fleet::usable_targets(m_core.pool, m_resolved.service->name, now),
            !m_tried_peers.empty()};
}

bool exchange::may_use(const fleet::tracked_target& target,
                       const std::vector<std::string>& region_ips, base::time_point now) const
{
    const auto& service = *m_resolved.service;
    if (fleet::may_be_cold(target, now) && service.cold_requests_per_second > 0) {
        if (!fleet::is_cold_sender(target.entry.name, m_core.settings.self.ip, region_ips) ||
            !m_core.cold.allows(target.entry.name, service.cold_requests_per_second, now)) {
            return false;
        }
    }
    if (service.max_connections == 0 || m_core.connections.has_kept(target.entry.address)) {
        return true;
    }
    return m_core.connections.open_count(target.entry.address) <
           std::max<std::size_t>(1, service.max_connections / region_ips.size());
}

std::optional<fleet::placement_choice> exchange::choose_here(base::time_point now) const
{
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        return std::nullopt;
    }
    const auto region_ips = m_core.members.region_ips(now);
    fleet::placement_request request;
    request.service = m_resolved.service->name;
    request.asked = m_prompt ? &*m_prompt : nullptr;
    request.spread = base::hash_name(m_asked.id);
    request.sharers = region_ips.size();
    request.data_center = fleet::mark_of(m_core.settings.self.data_center);
    request.tried = m_tried;
    request.may_use = [&](const fleet::tracked_target& target) {
        return may_use(target, region_ips, now);
    };
    return fleet::choose_target(m_core.pool, request, now);
}

std::vector<fleet::remote_region> exchange::choices_elsewhere(base::time_point now) const
{
    if (m_asked.from_peer()) {
        return {};
    }
    auto regions = fleet::remote_regions(m_core.news, m_resolved.service->name, m_core.remote, now);
    for (const auto& region : region_names(m_core.settings)) {
        if (region != m_core.settings.self.region && !m_core.news.knows(region, now)) {
            regions.push_back(fleet::region_without_news(region));
        }
    }
    std::erase_if(regions, [&](const fleet::remote_region& other) {
        return !fleet::may_run_in(*m_resolved.route, m_resolved.team, other.region) ||
               !has_peer_in(other.region, now);
    });
    return regions;
}

bool exchange::may_ask_peer(const std::string& ip, const fleet::member& who,
                            const fleet::region_name& region, base::time_point now) const
{
    return who.region == region && fleet::roster::takes_requests(who, now) &&
           std::find(m_tried_peers.begin(), m_tried_peers.end(), ip) == m_tried_peers.end();
}

bool exchange::has_peer_in(const fleet::region_name& region, base::time_point now) const
{
    const auto& members = m_core.members.members();
    return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return may_ask_peer(entry.first, entry.second, region, now);
    });
}

std::string exchange::peer_in(const fleet::region_name& region, base::time_point now) const
{
    // Weighted rendezvous hashing: a VM gets requests in proportion to its capacity.
    std::string best;
    double best_rank = 0;
    const auto key = base::hash_name(m_asked.id);
    for (const auto& [ip, who] : m_core.members.members()) {
        if (!may_ask_peer(ip, who, region, now)) {
            continue;
        }
        const double rank = base::rendezvous_rank(base::hash_pair(key, base::hash_name(ip)),
                                                  who.capacity.value() + 1);
        if (best.empty() || rank > best_rank) {
            best = ip;
            best_rank = rank;
        }
    }
    return best;
}

fleet::placement_ask exchange::ask_for(base::time_point now) const
{
    const auto limits = fleet::limits_here(choices_elsewhere(now), needs(now));
    fleet::placement_ask ask;
    ask.service = m_resolved.service->name;
    ask.asked = m_prompt;
    ask.spread = base::hash_name(m_asked.id);
    ask.urgency = urgency_of(m_resolved);
    ask.data_center = fleet::mark_of(m_core.settings.self.data_center);
    ask.longest_wait = limits.wait;
    ask.longest_start = limits.start;
    ask.most_reread_tokens = limits.reread_tokens;
    for (const auto& [name, target] : m_core.pool.targets()) {
        const bool tried = std::find(m_tried.begin(), m_tried.end(), name) != m_tried.end();
        const bool unusable = fleet::is_ejected(target.health, now) || target.restraint.leaving ||
                              fleet::wants_nothing(target.restraint, now);
        if (tried || (target.entry.service == m_resolved.service->name && unusable)) {
            ask.avoided.push_back(target.id);
        }
    }
    return ask;
}

void exchange::dispatch(base::time_point now)
{
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        go_to(std::nullopt, now);
        return;
    }
    m_is_asking = true;
    m_core.placements->ask(
        ask_for(now),
        [self = shared_from_this()](const placement_advice& advice) { self->on_advice(advice); },
        now);
}

void exchange::on_advice(const placement_advice& advice)
{
    const auto now = base::boot_now();
    m_is_asking = false;
    std::optional<reserved_place> place;
    if (advice.answer && advice.answer->is_reserved) {
        place = reserved_place{advice.desk_ip, advice.answer->number};
    }
    const auto give_back = [&] {
        if (place) {
            m_core.placements->note_ended(*place, std::nullopt, {}, now);
        }
    };
    if (m_is_over || now >= m_deadline) {
        give_back();
        return;
    }
    // The process may have been frozen while it waited.
    if (const auto refused = check(now)) {
        give_back();
        refuse(*refused, now);
        return;
    }
    const auto chosen = advice.answer ? choice_of(*advice.answer, now) : std::nullopt;
    m_placed_by = advice.answer && !chosen ? "self, no target of the desk" : advice.reason;
    if (chosen && place) {
        send_to_target(*chosen, place, now);
        return;
    }
    give_back();
    go_to(chosen ? chosen : choose_here(now), now);
}

std::optional<fleet::placement_choice> exchange::choice_of(const fleet::placement_answer& answer,
                                                           base::time_point now) const
{
    const auto* target = answer.target ? m_core.pool.find(*answer.target) : nullptr;
    if (target == nullptr || target->entry.service != m_resolved.service->name ||
        !fleet::takes_work(*target) || fleet::wants_nothing(target->restraint, now) ||
        !may_use(*target, m_core.members.region_ips(now), now)) {
        return std::nullopt;
    }
    return fleet::placement_choice{target->entry.name,
                                   target->entry.address,
                                   answer.wait,
                                   answer.start,
                                   answer.unread_tokens,
                                   0,
                                   false};
}

void exchange::go_to(const std::optional<fleet::placement_choice>& here, base::time_point now)
{
    const auto where = fleet::choose_place(here, choices_elsewhere(now), needs(now));
    switch (where.kind) {
    case fleet::place_kind::here:
        send_to_target(*here, std::nullopt, now);
        return;
    case fleet::place_kind::elsewhere:
        send_to_peer(where, peer_in(where.region, now), now);
        return;
    case fleet::place_kind::nowhere:
        break;
    }
    if (m_history.arrivals > 0 || m_history.has_begun) {
        carry_out(fleet::give_up(m_history, m_last_end), "no target left", now);
        return;
    }
    const bool any = where.wait != base::milliseconds::max();
    if (any) {
        m_refused_wait = where.wait;
    }
    if (const auto asked =
            any ? std::nullopt : m_core.pool.shortest_wait(m_resolved.service->name, now)) {
        refuse({unavailable_status, "targets_push_back",
                return_after(*asked, fleet::return_spread::asked)},
               now);
        return;
    }
    refuse({unavailable_status, any ? "too_much_waiting" : "no_target",
            return_after(any ? where.wait - longest_wait(needs(now)) : fleet::not_ready_return,
                         fleet::return_spread::queue)},
           now);
}

void exchange::send_to_target(const fleet::placement_choice& choice,
                              std::optional<reserved_place> place, base::time_point now)
{
    attempt next;
    next.target = choice.target;
    next.address = choice.address;
    next.region = m_core.settings.self.region;
    next.unread_tokens = choice.unread_tokens;
    next.unread_at_send = choice.unread_tokens;
    next.expected_wait = choice.wait;
    next.expected_start = choice.start;
    next.place = std::move(place);
    m_attempt = std::move(next);
    m_silence_told = false;
    m_tried.push_back(choice.target);
    m_core.pool.on_sent(choice.target, m_prompt ? &*m_prompt : nullptr, choice.unread_tokens, now);
    const auto* target = m_core.pool.find(choice.target);
    if (target != nullptr && fleet::may_be_cold(*target, now)) {
        m_core.cold.note_sent(choice.target, now);
    }
    send(bytes_for_target(m_asked, m_resolved, choice.target.text(),
                          {time_left(now), m_last_event_id}, m_core.protocol.names),
         near_connect_limit, now);
}

void exchange::send_to_peer(const fleet::place& where, const std::string& ip, base::time_point now)
{
    attempt next;
    next.address = fmt::format("{}:{}", ip, m_core.settings.peer_port);
    next.region = where.region;
    next.expected_wait = where.wait;
    next.expected_start = where.start;
    m_attempt = std::move(next);
    m_silence_told = false;
    m_tried_peers.push_back(ip);
    const auto way = where.round_trip / 2;
    m_core.remote.note(where.region, m_resolved.service->name, where.tokens, now);
    send(bytes_for_peer(m_asked, m_resolved,
                        {std::max(base::milliseconds{1}, time_left(now) - way), m_last_event_id},
                        m_core.protocol.names),
         far_connect_limit, now);
}

void exchange::note_sent(base::time_point now)
{
    if (!m_charged && !m_asked.is_charged_elsewhere() && m_resolved.team != nullptr) {
        std::optional<std::uint64_t> tokens;
        if (m_prompt) {
            tokens = std::uint64_t{m_prompt->prompt_tokens} + m_prompt->answer_tokens;
        }
        m_core.quota.charge(*m_resolved.team, fleet::units_of(m_resolved.team->limit, tokens), now);
    }
    m_charged = true;
}

bool exchange::was_sent_to(const std::string& address) const
{
    return std::find(m_sent_to.begin(), m_sent_to.end(), address) != m_sent_to.end();
}

void exchange::send(std::string bytes, base::milliseconds connect_limit, base::time_point now)
{
    note_sent(now);
    ++m_history.sends;
    upstream_request request;
    request.address = m_attempt->address;
    request.bytes = std::move(bytes);
    request.request_id = m_asked.id;
    request.request_id_field = m_core.protocol.names.request_id;
    request.connect_limit = std::min(connect_limit, time_left(now));
    request.on_new_connection = m_history.sends > 1 && was_sent_to(m_attempt->address);
    m_sent_to.push_back(m_attempt->address);
    m_attempt->sent_at = now;
    m_attempt->last_sign = now;
    m_attempt->call = std::make_shared<upstream_call>(m_core.connections, std::move(request));
    m_attempt->call->start(
        {[self = shared_from_this()](const message_head& head) { self->on_head(head); },
         [self = shared_from_this()](std::string_view piece) { self->on_body(piece); },
         [self = shared_from_this()] { self->on_answer_end(); },
         [self = shared_from_this()](const upstream_failure& failure) {
             self->on_failure(failure);
         }},
        now);
}

} // namespace chicorylink::front
