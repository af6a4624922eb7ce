#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_bytes.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

// The part of `exchange` that decides where a request goes and sends it to a target.

namespace chicorylink::front {
namespace {

/// A connection within a region takes about two round trips. A longer time means that the SYN was
/// lost, and its retransmission comes only after a second.
constexpr base::milliseconds local_connect_timeout{300};

} // namespace

std::optional<refusal> exchange::resolve_request(base::time_point now)
{
    const auto& names = m_core.protocol.names;
    auto found = resolve(m_core.state.config(), m_request, names);
    if (auto* resolved = std::get_if<resolved_request>(&found)) {
        m_resolved = std::move(*resolved);
    }
    else if (!m_response_begun) {
        return std::get<refusal>(found);
    }
    // A stream that has begun is completed under the configuration that accepted it.
    if (m_resolved.team != nullptr && !keys_are_fresh(m_core, now)) {
        return refusal{unavailable_status, "configuration_not_confirmed",
                       fleet::not_ready_retry_after};
    }
    return std::nullopt;
}

fleet::region_request exchange::make_region_request(base::time_point now) const
{
    fleet::region_request request{m_resolved.service->is_engine,
                                  m_prompt ? m_prompt->prompt_tokens : 0,
                                  m_prompt ? fleet::shared_tokens(*m_prompt) : 0,
                                  m_prompt ? m_prompt->session : base::hash_name(m_request.id),
                                  m_resolved.route->latency_objective,
                                  time_left(now),
                                  m_is_caller_retry,
                                  m_core.settings.self.region,
                                  fleet::usable_targets(m_core.pool, m_resolved.service->name, now),
                                  !m_tried_peers.empty()};
    request.reserved_wait = reserved_wait(request, now);
    return request;
}

bool exchange::may_use(const fleet::tracked_target& target,
                       const std::vector<std::string>& region_ips, bool is_paced,
                       base::time_point now) const
{
    if (!has_version(target.entry)) {
        return false;
    }
    const auto& service = *m_resolved.service;
    const auto& name = target.entry.name;
    const auto rate =
        fleet::designated_rate(target, service.cold_requests_per_second, is_paced, now);
    if (rate && (!fleet::is_designated_sender(name, m_core.settings.self.ip, region_ips) ||
                 !m_core.pacer.allows(name, *rate, now))) {
        return false;
    }
    if (service.max_connections == 0 || m_core.connections.has_idle(target.entry.address)) {
        return true;
    }
    return m_core.connections.open_count(target.entry.address) <
           std::max<std::size_t>(1, service.max_connections / region_ips.size());
}

std::optional<fleet::placement_choice> exchange::choose_local_target(base::time_point now) const
{
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        return std::nullopt;
    }
    const auto region_ips = m_core.members.region_ips(now);
    fleet::placement_request request;
    request.service = m_resolved.service->name;
    request.engine_prompt = m_prompt ? &*m_prompt : nullptr;
    request.spread = base::hash_name(m_request.id);
    request.vm_count = region_ips.size();
    request.data_center = fleet::hash_of(m_core.settings.self.data_center);
    request.tried = m_tried_targets;
    request.may_use = [&](const fleet::tracked_target& target) {
        return may_use(target, region_ips, false, now);
    };
    return fleet::choose_target(m_core.pool, request, now);
}

fleet::placement_query exchange::make_placement_query(base::time_point now) const
{
    const auto limits = fleet::local_limits_for(remote_candidates(now), make_region_request(now));
    fleet::placement_query query;
    query.service = m_resolved.service->name;
    query.engine_prompt = m_prompt;
    query.spread = base::hash_name(m_request.id);
    query.urgency = urgency_of(m_resolved);
    query.data_center = fleet::hash_of(m_core.settings.self.data_center);
    query.longest_wait = limits.wait;
    query.longest_start = limits.start;
    query.most_reread_tokens = limits.reread_tokens;
    query.time_left = stream_time_left(now);
    for (const auto& [name, target] : m_core.pool.targets()) {
        const bool tried = std::find(m_tried_targets.begin(), m_tried_targets.end(), name) !=
                           m_tried_targets.end();
        const bool unusable = fleet::is_ejected(target.health, now) || target.pushback.leaving ||
                              fleet::must_back_off(target.pushback, now);
        const bool is_wrong = unusable || !has_version(target.entry);
        if (tried || (target.entry.service == m_resolved.service->name && is_wrong)) {
            query.avoided.push_back(target.id);
        }
    }
    return query;
}

std::optional<base::milliseconds> exchange::stream_time_left(base::time_point now) const
{
    // A stream that has begun goes on wherever it can: its caller has a part of it.
    if (!is_stream() || !m_prompt || m_prompt->output_tokens == 0 || m_history.arrivals > 0 ||
        m_history.has_begun ||
        find_field(m_request.head.fields, m_core.protocol.names.last_event_id) != nullptr) {
        return std::nullopt;
    }
    return time_left(now);
}

void exchange::dispatch(base::time_point now)
{
    if (refuse_quarantined(now)) {
        return;
    }
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        send_or_refuse(std::nullopt, now);
        return;
    }
    m_is_awaiting_placement = true;
    m_core.placements->request_placement(
        make_placement_query(now),
        [self = shared_from_this()](const placement_result& placement) {
            self->on_placement_result(placement);
        },
        now);
}

void exchange::on_placement_result(const placement_result& placement)
{
    const auto now = base::boot_now();
    const bool is_expected = std::exchange(m_is_awaiting_placement, false);
    std::optional<reserved_place> place;
    if (placement.answer && placement.answer->is_reserved) {
        place = reserved_place{placement.coordinator_ip, placement.answer->number};
    }
    const auto release_place = [&] {
        if (place) {
            m_core.placements->report_ended(*place, std::nullopt, {}, now);
        }
    };
    if (m_is_finished || !is_expected || now >= m_deadline) {
        release_place();
        return;
    }
    // The process may have been suspended while it waited.
    if (const auto refused = resolve_request(now)) {
        release_place();
        wait_or_refuse(*refused, now);
        return;
    }
    if (refuse_quarantined(now)) {
        release_place();
        return;
    }
    const auto chosen = placement.answer ? usable_choice(*placement.answer, now) : std::nullopt;
    m_placed_by = placement.answer && !chosen ? "self, no target of the desk" : placement.reason;
    if (chosen && place) {
        send_to_target(*chosen, place, now);
        return;
    }
    release_place();
    send_or_refuse(chosen ? chosen : choose_local_target(now), now);
}

std::optional<fleet::placement_choice>
exchange::usable_choice(const fleet::placement_answer& answer, base::time_point now) const
{
    const auto* target = answer.target ? m_core.pool.find(*answer.target) : nullptr;
    if (target == nullptr || target->entry.service != m_resolved.service->name ||
        !fleet::takes_work(*target) || fleet::must_back_off(target->pushback, now) ||
        !may_use(*target, m_core.members.region_ips(now), answer.is_paced, now)) {
        return std::nullopt;
    }
    fleet::placement_choice choice;
    choice.target = target->entry.name;
    choice.address = target->entry.address;
    choice.wait = answer.wait;
    choice.start = answer.start;
    choice.unread_tokens = answer.unread_tokens;
    choice.is_paced = answer.is_paced;
    choice.end = answer.end;
    const auto* holder = answer.prefix_holder ? m_core.pool.find(*answer.prefix_holder) : nullptr;
    if (holder != nullptr && holder->entry.service == target->entry.service) {
        choice.prefix_holder = holder->entry.name;
        choice.prefix_holder_address = holder->entry.address;
    }
    return choice;
}

void exchange::send_or_refuse(const std::optional<fleet::placement_choice>& local_choice,
                              base::time_point now)
{
    const bool is_late = local_choice && fleet::ends_late(*local_choice, stream_time_left(now));
    const auto decision = fleet::choose_region(is_late ? std::nullopt : local_choice,
                                               remote_candidates(now), make_region_request(now));
    switch (decision.kind) {
    case fleet::region_decision_kind::local:
        send_to_target(*local_choice, std::nullopt, now);
        return;
    case fleet::region_decision_kind::remote:
        send_to_peer(decision, choose_peer(decision.region, now), now);
        return;
    case fleet::region_decision_kind::none:
        break;
    }
    if (is_late) {
        m_core.counters.add("late_ends_refused_total");
        m_expected_end = local_choice->end;
        refuse({unavailable_status, "ends_after_deadline",
                retry_delay(local_choice->end - time_left(now), fleet::retry_jitter::queue)},
               now);
        return;
    }
    const bool has_targets = decision.wait != base::milliseconds::max();
    if (!has_targets && send_to_limited_region(now)) {
        return;
    }
    if (m_history.arrivals > 0 || m_history.has_begun) {
        if (await_target("no target left", now)) {
            return;
        }
        execute(fleet::give_up(m_history, m_last_end), "no target left", now);
        return;
    }
    if (has_targets) {
        m_shortest_wait = decision.wait;
        const auto request = make_region_request(now);
        if (request.reserved_wait.count() > 0 && decision.wait <= longest_wait(request)) {
            m_core.counters.add("refusals_before_returns_total");
        }
    }
    auto targets_wait = has_targets ? std::nullopt : wait_for_targets(now);
    if (!has_targets && !targets_wait) {
        targets_wait = wait_for_limited_regions(now);
    }
    if (targets_wait) {
        refuse({unavailable_status, "targets_push_back",
                retry_delay(*targets_wait, fleet::retry_jitter::requested_wait)},
               now);
        return;
    }
    if (!has_targets) {
        refuse({unavailable_status, "no_target",
                retry_delay(fleet::not_ready_retry_after, fleet::retry_jitter::queue)},
               now);
        return;
    }
    const auto excess = decision.wait - longest_wait(make_region_request(now));
    refuse({unavailable_status, "too_much_waiting", delay_until_return(excess, now)}, now);
}

void exchange::note_paced(const fleet::placement_choice& choice, base::time_point now)
{
    const auto* target = m_core.pool.find(choice.target);
    if (target == nullptr) {
        return;
    }
    if (const auto rate = fleet::designated_rate(
            *target, m_resolved.service->cold_requests_per_second, choice.is_paced, now)) {
        m_core.pacer.note_sent(choice.target, *rate, now);
    }
    const auto limit = fleet::limit_at(target->pushback.limit, now);
    if (!limit) {
        return;
    }
    m_core.counters.add(choice.is_paced ? "limited_target_requests_total{placed_by=\"coordinator\"}"
                                        : "limited_target_requests_total{placed_by=\"vm\"}");
    if (m_core.limits.note_sent(choice.target, *limit, now)) {
        m_core.counters.add("target_limit_exceeded_total");
        write_log(m_core, log_event(m_core, "target_limit_exceeded")
                              .add("request", m_request.id)
                              .add("target", choice.target.text())
                              .add("per_second", *limit));
    }
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
    m_attempt = std::make_unique<attempt>(std::move(next));
    m_silence_reported = false;
    m_tried_targets.push_back(choice.target);
    note_target_run();
    note_sent_version();
    m_core.pool.on_sent(choice.target, m_prompt ? &*m_prompt : nullptr, choice.unread_tokens, now);
    note_paced(choice, now);
    m_attempt->prefix_holder = choice.prefix_holder;
    if (!choice.prefix_holder.empty()) {
        m_core.counters.add("prefix_transfers_total");
    }
    send(serialize_for_target(m_request, m_resolved, choice.target.text(),
                              {time_left(now), m_last_event_id, choice.prefix_holder_address, {}},
                              m_core.protocol.names),
         local_connect_timeout, now);
}

bool exchange::was_sent_to(const std::string& address) const
{
    return std::find(m_attempted_addresses.begin(), m_attempted_addresses.end(), address) !=
           m_attempted_addresses.end();
}

void exchange::send(std::string bytes, base::milliseconds connect_timeout, base::time_point now)
{
    if (std::exchange(m_is_retry_due, false) && !take_retry(now)) {
        if (m_silent_attempt) {
            resume_silent_attempt(now);
            return;
        }
        release(*m_attempt, now);
        m_attempt->ended = true;
        execute(fleet::give_up(m_history, m_last_end), "no retry budget", now);
        return;
    }
    charge_quota(now);
    const auto number = ++m_history.sends;
    upstream_request request;
    request.address = m_attempt->address;
    request.bytes = std::move(bytes);
    request.request_id = m_request.id;
    request.request_id_field = m_core.protocol.names.request_id;
    request.connect_timeout = std::min(connect_timeout, time_left(now));
    request.account = m_core.request_bytes;
    request.force_new_connection = number > 1 && was_sent_to(m_attempt->address);
    m_attempted_addresses.push_back(m_attempt->address);
    m_attempt->number = number;
    m_attempt->sent_at = now;
    m_attempt->last_progress = now;
    m_attempt->call = std::make_shared<upstream_call>(m_core.connections, std::move(request));
    m_attempt->call->start({[self = shared_from_this(), number](const message_head& head) {
                                self->on_head(number, head);
                            },
                            [self = shared_from_this(), number](std::string_view piece) {
                                self->on_body(number, piece);
                            },
                            [self = shared_from_this(), number] { self->on_response_end(number); },
                            [self = shared_from_this(), number](const upstream_failure& failure) {
                                self->on_failure(number, failure);
                            }},
                           now);
}

} // namespace chicorylink::front
