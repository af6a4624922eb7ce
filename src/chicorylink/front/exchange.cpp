#include "chicorylink/front/exchange.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/caller_connection.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_bytes.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

using fleet::attempt_end;
using fleet::next_step;
using fleet::target_outcome;

constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// A connection within a region is there after about two round trips; longer means that the
/// opening packet was dropped, and its repetition comes after a second.
constexpr base::milliseconds near_connect_limit{300};
/// The same between regions, for a loaded link.
constexpr base::milliseconds far_connect_limit{800};

/// The shortest and the longest time that a refused caller is told to wait.
constexpr base::milliseconds shortest_retry_after{150};
constexpr base::milliseconds longest_retry_after{2000};

/// While a VM waits for a configuration, the store and the peers answer within about this time.
constexpr base::milliseconds not_ready_retry_after{500};

/// A target that shows no sign to any request for so long is taken to be gone: several times the
/// pause between two events at the fullest batch.
constexpr base::milliseconds silence_limit{1000};

/// Bytes that may wait for a slow caller before no more of the answer is read.
constexpr std::size_t unsent_limit = 256UL * 1024;

/// One more than the largest hash.
constexpr double hash_range = 18446744073709551616.0;

} // namespace

exchange::exchange(front_core& core, caller_connection& caller, asked_request asked)
    : m_core(core), m_caller(&caller), m_asked(std::move(asked))
{
    m_history.from_peer = m_asked.from_peer();
    m_core.exchanges.insert(this);
}

exchange::~exchange()
{
    m_core.exchanges.erase(this);
}

bool exchange::is_stream() const
{
    return m_resolved.route->kind == fleet::request_kind::stream;
}

base::milliseconds exchange::time_left(base::time_point now) const
{
    return std::chrono::duration_cast<base::milliseconds>(m_deadline - now);
}

base::milliseconds exchange::retry_after(base::milliseconds wait) const
{
    // Spread by the request's id, so that those refused together do not return together.
    const auto base_wait = std::clamp(wait, shortest_retry_after, longest_retry_after);
    const auto spread = base::hash_name(m_asked.id) % 100;
    return base_wait + base_wait * static_cast<std::int64_t>(spread) / 100;
}

std::optional<refusal> exchange::check(base::time_point now)
{
    const auto& names = m_core.protocol.names;
    auto found = resolve(m_core.state.config(), m_asked, names);
    if (const auto* refused = std::get_if<refusal>(&found)) {
        return *refused;
    }
    m_resolved = std::get<resolved_request>(found);
    if (m_resolved.team != nullptr && !keys_are_fresh(m_core, now)) {
        return refusal{unavailable, "configuration_not_confirmed", not_ready_retry_after};
    }
    return std::nullopt;
}

std::optional<refusal> exchange::check_quota(base::time_point now)
{
    if (m_asked.from_peer() || m_resolved.team == nullptr || m_charged ||
        m_core.quota.has_room(*m_resolved.team, now)) {
        return std::nullopt;
    }
    return refusal{too_many_requests, "quota",
                   retry_after(m_core.quota.room_in(*m_resolved.team, now))};
}

void exchange::begin(base::time_point now)
{
    m_deadline = now + longest_retry_after;
    if (!takes_new_requests(m_core, now)) {
        refuse({unavailable, "leaving", shortest_retry_after}, now);
        return;
    }
    if (const auto refused = check(now)) {
        refuse(*refused, now);
        return;
    }
    const auto& names = m_core.protocol.names;
    const auto timeout = m_resolved.route->timeout;
    m_deadline = now + std::min(timeout, patience_of(m_asked.head, names).value_or(timeout));
    m_prompt = prompt_of(m_asked.head, names);
    m_is_return = m_core.patience.is_return(m_resolved.route->name,
                                            patience_of(m_asked.head, names).value_or(timeout));
    if (!m_asked.from_peer()) {
        m_core.retries.note_request(m_resolved.service->name, now);
    }
    if (const auto refused = check_quota(now)) {
        refuse(*refused, now);
        return;
    }
    dispatch(now);
}

fleet::region_request exchange::needs(base::time_point now) const
{
    return {m_resolved.service->is_engine, m_prompt ? m_prompt->prompt_tokens : 0,
            m_resolved.route->latency_objective, time_left(now), m_is_return};
}

bool exchange::may_use(const fleet::tracked_target& target, base::time_point now) const
{
    const auto& service = *m_resolved.service;
    if (fleet::may_be_cold(target, now) && service.cold_requests_per_second > 0) {
        const auto ips = m_core.members.region_ips(now);
        if (!fleet::is_cold_sender(target.entry.name, m_core.settings.self.ip, ips) ||
            !m_core.cold.allows(target.entry.name, service.cold_requests_per_second, now)) {
            return false;
        }
    }
    if (service.max_connections == 0 || m_core.connections.has_kept(target.entry.address)) {
        return true;
    }
    const auto sharers = std::max<std::size_t>(1, m_core.members.region_ips(now).size());
    return m_core.connections.open_count(target.entry.address) <
           std::max<std::size_t>(1, service.max_connections / sharers);
}

std::optional<fleet::placement_choice> exchange::choose_here(base::time_point now) const
{
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        return std::nullopt;
    }
    fleet::placement_request request;
    request.service = m_resolved.service->name;
    request.asked = m_prompt ? &*m_prompt : nullptr;
    request.spread = base::hash_name(m_asked.id);
    request.sharers = m_core.members.region_ips(now).size();
    request.tried = m_tried;
    request.may_use = [&](const fleet::tracked_target& target) { return may_use(target, now); };
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
               peer_in(other.region, now).empty();
    });
    return regions;
}

std::string exchange::peer_in(const fleet::region_name& region, base::time_point now) const
{
    // Weighted rendezvous hashing: a VM gets requests in proportion to its capacity.
    std::string best;
    double best_weight = 0;
    const auto key = base::hash_name(m_asked.id);
    for (const auto& [ip, who] : m_core.members.members()) {
        if (who.region != region || !fleet::roster::takes_requests(who, now) ||
            std::find(m_tried_peers.begin(), m_tried_peers.end(), ip) != m_tried_peers.end()) {
            continue;
        }
        const auto bits = base::hash_pair(key, base::hash_name(ip));
        const double point = (static_cast<double>(bits) + 1) / hash_range;
        const double weight = -static_cast<double>(who.capacity.value() + 1) / std::log(point);
        if (best.empty() || weight > best_weight) {
            best = ip;
            best_weight = weight;
        }
    }
    return best;
}

void exchange::dispatch(base::time_point now)
{
    const auto here = choose_here(now);
    const auto where = fleet::choose_place(here, choices_elsewhere(now), needs(now));
    switch (where.kind) {
    case fleet::place_kind::here:
        send_to_target(*here, now);
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
    refuse({unavailable, any ? "too_much_waiting" : "no_target",
            retry_after(any ? where.wait - longest_wait(needs(now)) : not_ready_retry_after)},
           now);
}

void exchange::send_to_target(const fleet::placement_choice& choice, base::time_point now)
{
    attempt next;
    next.target = choice.target;
    next.address = choice.address;
    next.region = m_core.settings.self.region;
    next.unread_tokens = choice.unread_tokens;
    next.expected_wait = choice.wait;
    m_attempt = std::move(next);
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
    m_attempt = std::move(next);
    m_tried_peers.push_back(ip);
    const auto way = where.round_trip / 2;
    m_core.remote.note(where.region, m_resolved.service->name,
                       m_prompt ? m_prompt->prompt_tokens : 0, now);
    send(bytes_for_peer(m_asked, m_resolved,
                        {std::max(base::milliseconds{1}, time_left(now) - way), m_last_event_id},
                        m_core.protocol.names),
         far_connect_limit, now);
}

void exchange::note_sent(base::time_point now)
{
    if (!m_charged && !m_asked.from_peer() && m_resolved.team != nullptr) {
        std::optional<std::uint64_t> tokens;
        if (m_prompt) {
            tokens = std::uint64_t{m_prompt->prompt_tokens} + m_prompt->answer_tokens;
        }
        m_core.quota.charge(*m_resolved.team, fleet::units_of(m_resolved.team->limit, tokens), now);
    }
    m_charged = true;
}

void exchange::send(std::string bytes, base::milliseconds connect_limit, base::time_point now)
{
    note_sent(now);
    ++m_sends;
    upstream_request request;
    request.address = m_attempt->address;
    request.bytes = std::move(bytes);
    request.request_id = m_asked.id;
    request.request_id_field = m_core.protocol.names.request_id;
    request.connect_limit = std::min(connect_limit, time_left(now));
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

void exchange::read_load(const message_head& head, base::time_point now)
{
    const auto* text = find_field(head.fields, m_core.protocol.names.load);
    if (text == nullptr || m_attempt->target.empty()) {
        return;
    }
    // `RUNNING,WAITING,SLOTS`: the first two read like token counts.
    const auto second_comma = text->find(',', text->find(',') + 1);
    const auto load = fleet::parse_token_counts(std::string_view{*text}.substr(0, second_comma));
    if (load) {
        m_core.pool.on_load(m_attempt->target, load->prompt_tokens, load->answer_tokens, now);
    }
}

void exchange::on_head(const message_head& head)
{
    constexpr int misdirected = 421;
    constexpr int first_error = 400;
    constexpr int first_server_error = 500;
    const auto now = base::boot_now();
    const auto& names = m_core.protocol.names;
    auto& running = *m_attempt;
    running.has_head = true;
    running.head = head;
    running.last_sign = now;
    m_core.pool.on_sign(running.target, now);
    read_load(head, now);
    const auto* peer_outcome =
        running.target.empty() ? find_field(head.fields, outcome_field) : nullptr;
    if (peer_outcome != nullptr) {
        running.call->discard();
        end_attempt(*peer_outcome == outcome_not_run ? attempt_end::rejected : attempt_end::unknown,
                    target_outcome::broken, "the other VM has no answer", now);
        return;
    }
    if (head.status == misdirected || find_field(head.fields, names.not_run) != nullptr) {
        if (head.status == misdirected && !running.target.empty()) {
            m_core.pool.on_displaced(running.target);
            m_core.connections.drop(running.address);
        }
        running.call->discard();
        end_attempt(attempt_end::rejected, target_outcome::shed,
                    head.status == misdirected ? "another target has the address"
                                               : "the target rejected it",
                    now);
        return;
    }
    const bool is_signed = find_field(head.fields, names.signature) != nullptr;
    const bool is_coded = find_field(head.fields, "Content-Encoding") != nullptr;
    if (is_coded || (!is_signed && head.status < first_error) ||
        (!is_signed && head.status >= first_server_error)) {
        running.call->cancel();
        end_attempt(attempt_end::unknown, target_outcome::broken, "not a target's answer", now);
        return;
    }
    if (m_answer_begun && head.status >= first_error) {
        // A stream can't be continued by a failure.
        running.call->discard();
        end_attempt(attempt_end::unknown, target_outcome::server_error,
                    "the continuation of the stream failed", now);
    }
}

void exchange::on_body(std::string_view piece)
{
    const auto now = base::boot_now();
    m_attempt->last_sign = now;
    m_core.pool.on_sign(m_attempt->target, now);
    constexpr int first_error = 400;
    if (!is_stream() || m_attempt->head.status >= first_error) {
        m_attempt->held_body.append(piece);
        if (m_attempt->held_body.size() > unsent_limit) {
            flush_held(now);
        }
        return;
    }
    m_events.feed(piece);
    while (const auto event = m_events.next()) {
        take_event(*event);
    }
    if (m_events.overflowed()) {
        m_attempt->call->cancel();
        end_attempt(attempt_end::unknown, target_outcome::broken, "an event has no end", now);
        return;
    }
    if (m_caller != nullptr && m_caller->unsent() > unsent_limit && !m_paused) {
        m_paused = true;
        m_attempt->call->pause_reading();
    }
}

void exchange::take_event(const stream_event& event)
{
    if (m_caller == nullptr) {
        return;
    }
    if (!m_answer_begun) {
        const auto now = base::boot_now();
        m_first_at = now;
        m_core.pool.on_begun(m_attempt->target, m_attempt->unread_tokens, now);
        m_attempt->unread_tokens = 0;
        begin_answer(m_attempt->head, std::nullopt);
        m_history.has_begun = true;
    }
    m_caller->send_body(event.bytes);
    if (!event.id.empty()) {
        m_last_event_id = event.id;
    }
}

void exchange::begin_answer(const message_head& head, std::optional<std::uint64_t> length)
{
    auto fields = head.fields;
    remove_hop_fields(fields);
    remove_fields(fields, outcome_field);
    m_answer_begun = true;
    m_caller->begin_answer(head.status, head.reason, fields, length);
}

void exchange::flush_held(base::time_point now)
{
    if (!m_answer_begun) {
        m_first_at = now;
        m_history.has_begun = true;
        begin_answer(m_attempt->head, m_attempt->head.content_length);
    }
    m_caller->send_body(std::exchange(m_attempt->held_body, {}));
}

void exchange::on_answer_end()
{
    constexpr int first_server_error = 500;
    const auto now = base::boot_now();
    if (is_stream() && m_events.has_partial()) {
        end_attempt(attempt_end::unknown, target_outcome::broken,
                    "the stream ended within an event", now);
        return;
    }
    const auto status = m_attempt->head.status;
    const bool failed = status >= first_server_error;
    if (failed && !m_answer_begun) {
        end_attempt(attempt_end::failed, target_outcome::server_error, "the target failed", now);
        return;
    }
    pass_held_answer(now);
}

void exchange::pass_held_answer(base::time_point now)
{
    const auto status = m_attempt->head.status;
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - m_attempt->sent_at);
    constexpr int first_server_error = 500;
    if (status < first_server_error) {
        m_core.pool.on_outcome(m_attempt->target, target_outcome::answered, took, now);
    }
    if (!m_answer_begun) {
        m_first_at = now;
        begin_answer(m_attempt->head, m_attempt->held_body.size());
    }
    m_caller->send_body(m_attempt->held_body);
    auto* caller = std::exchange(m_caller, nullptr);
    finish("answered", status, {}, now);
    caller->end_answer();
}

void exchange::on_failure(const upstream_failure& failure)
{
    const auto now = base::boot_now();
    if (failure.may_have_arrived) {
        m_core.connections.drop(m_attempt->address);
    }
    end_attempt(failure.may_have_arrived ? attempt_end::unknown : attempt_end::not_sent,
                failure.may_have_arrived ? target_outcome::broken : target_outcome::unreachable,
                failure.detail, now);
}

void exchange::release()
{
    if (m_attempt && !m_attempt->target.empty() && !std::exchange(m_attempt->released, true)) {
        m_core.pool.on_ended(m_attempt->target, m_attempt->unread_tokens);
        m_attempt->unread_tokens = 0;
    }
}

void exchange::end_attempt(attempt_end end, target_outcome outcome, std::string_view detail,
                           base::time_point now)
{
    const auto keep_alive = shared_from_this();
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - m_attempt->sent_at);
    if (!m_attempt->target.empty() &&
        m_core.pool.on_outcome(m_attempt->target, outcome, took, now)) {
        write_log(m_core, log_event(m_core, "target_ejected")
                              .add("target", m_attempt->target.text())
                              .add("reason", detail));
    }
    static constexpr std::array<std::string_view, 4> results{"not_sent", "rejected", "failed",
                                                             "unknown"};
    log_attempt(results.at(static_cast<std::size_t>(end)), detail, now);
    release();
    m_last_end = end;
    // What the next attempt sends begins with a whole event.
    m_events.reset();
    if (end != attempt_end::not_sent) {
        ++m_history.arrivals;
    }
    if (end == attempt_end::failed || end == attempt_end::unknown) {
        ++m_history.runs;
    }
    auto step = fleet::decide_next(*m_resolved.route, m_history, end, time_left(now));
    if (step == next_step::send_again && m_history.arrivals > 0 &&
        !m_core.retries.take(m_resolved.service->name, m_core.members.size(now).known, now)) {
        step = fleet::give_up(m_history, end);
        m_core.counters.add("retries_denied_total");
    }
    carry_out(step, detail, now);
}

void exchange::carry_out(next_step step, std::string_view detail, base::time_point now)
{
    switch (step) {
    case next_step::send_again:
        if (const auto refused = check(now)) {
            refuse(*refused, now);
            return;
        }
        m_core.counters.add("retries_total");
        dispatch(now);
        return;
    case next_step::pass_answer:
        pass_held_answer(now);
        return;
    case next_step::refuse:
        refuse({unavailable, "targets_rejected", retry_after(shortest_retry_after)}, now);
        return;
    case next_step::fail:
        refuse({bad_gateway, detail, std::nullopt}, now);
        return;
    case next_step::cut:
        if (auto* caller = std::exchange(m_caller, nullptr)) {
            finish("cut", 0, detail, now);
            caller->cut_answer();
        }
        return;
    }
}

void exchange::refuse(const refusal& why, base::time_point now)
{
    auto* caller = std::exchange(m_caller, nullptr);
    if (caller == nullptr) {
        return;
    }
    if (m_answer_begun) {
        finish("cut", 0, why.reason, now);
        caller->cut_answer();
        return;
    }
    auto told = why;
    // A refusal promises that the request did not run and never will.
    if (m_history.runs > 0 && why.status != gateway_timeout) {
        told.status = bad_gateway;
        told.retry_after = std::nullopt;
    }
    const bool ran = m_history.runs > 0;
    finish(ran ? "failed" : "refused", told.status, told.reason, now);
    caller->refuse(told, ran ? outcome_unknown : outcome_not_run);
}

void exchange::on_caller_gone(base::time_point now)
{
    m_caller = nullptr;
    if (m_attempt && m_attempt->call) {
        m_attempt->call->cancel();
    }
    if (!m_is_over) {
        release();
        finish("caller_left", 0, {}, now);
    }
}

void exchange::on_caller_drained()
{
    if (std::exchange(m_paused, false) && m_attempt && m_attempt->call) {
        m_attempt->call->resume_reading();
    }
}

void exchange::tick(base::time_point now)
{
    if (m_is_over || m_caller == nullptr) {
        return;
    }
    const auto keep_alive = shared_from_this();
    if (now >= m_deadline) {
        if (m_attempt && m_attempt->call) {
            const bool arrived = m_attempt->call->may_have_arrived();
            m_attempt->call->cancel();
            log_attempt("unknown", "deadline", now);
            release();
            m_history.runs += arrived ? 1 : 0;
        }
        const auto status = m_history.runs > 0 ? gateway_timeout : unavailable;
        refuse({status, "deadline", std::nullopt}, now);
        return;
    }
    if (!m_attempt || m_attempt->target.empty() || now - m_attempt->last_sign < silence_limit) {
        return;
    }
    const auto* target = m_core.pool.find(m_attempt->target);
    const bool others_hear = target != nullptr && now - target->last_sign < silence_limit;
    if (others_hear) {
        return;
    }
    if (m_core.pool.on_silence(m_attempt->target, now)) {
        m_core.connections.drop(m_attempt->address);
        write_log(m_core, log_event(m_core, "target_ejected")
                              .add("target", m_attempt->target.text())
                              .add("reason", "silent"));
    }
    if (!m_asked.from_peer() && fleet::may_repeat(*m_resolved.route) &&
        m_history.runs + 1 < m_resolved.route->max_attempts) {
        m_attempt->call->cancel();
        end_attempt(attempt_end::unknown, target_outcome::broken, "the target is silent", now);
    }
}

void exchange::on_stop(base::time_point now)
{
    if (m_attempt && m_attempt->call) {
        m_attempt->call->cancel();
        m_history.runs += 1;
    }
    refuse({unavailable, "stopping", std::nullopt}, now);
}

void exchange::log_attempt(std::string_view result, std::string_view detail,
                           base::time_point now) const
{
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - m_attempt->sent_at);
    write_log(m_core, log_event(m_core, "attempt_ended")
                          .add("request", m_asked.id)
                          .add("result", result)
                          .add("detail", detail)
                          .add("target", m_attempt->target.text())
                          .add("address", m_attempt->address)
                          .add("status", m_attempt->head.status)
                          .add("expected_wait_ms", m_attempt->expected_wait.count())
                          .add("took_ms", took.count())
                          .add("left_ms", time_left(now).count()));
}

void exchange::finish(std::string_view outcome, int status, std::string_view reason,
                      base::time_point now)
{
    if (std::exchange(m_is_over, true)) {
        return;
    }
    if (outcome == "answered" || outcome == "cut") {
        release();
    }
    m_core.exchanges.erase(this);
    const auto ms_since = [&](base::time_point then) {
        return std::chrono::duration_cast<base::milliseconds>(then - m_asked.arrived_at).count();
    };
    auto line = log_event(m_core, "request");
    line.add("request", m_asked.id).add("from", m_asked.from_peer() ? "peer" : "caller");
    line.add("outcome", outcome).add("status", status).add("reason", reason);
    if (m_resolved.route != nullptr) {
        const auto confirmed = m_core.state.confirmed_at();
        line.add("route", m_resolved.route->name.text());
        line.add("service", m_resolved.service == nullptr ? std::string_view{}
                                                          : m_resolved.service->name.text());
        line.add("team",
                 m_resolved.team == nullptr ? std::string_view{} : m_resolved.team->name.text());
        line.add("version", m_resolved.config->version().value());
        line.add("confirmed_ms_ago",
                 confirmed
                     ? std::chrono::duration_cast<base::milliseconds>(now - *confirmed).count()
                     : -1);
    }
    if (m_attempt) {
        line.add("target", m_attempt->target.text()).add("region", m_attempt->region.text());
        line.add("address", m_attempt->address);
        line.add("expected_wait_ms", m_attempt->expected_wait.count());
    }
    if (m_refused_wait) {
        line.add("shortest_wait_ms", m_refused_wait->count());
        line.add("longest_wait_ms", longest_wait(needs(now)).count());
        line.add("is_return", m_is_return);
    }
    line.add("attempts", m_sends).add("total_ms", ms_since(now));
    if (m_answer_begun) {
        line.add("first_ms", ms_since(m_first_at));
        m_core.counters.observe("first_answer_ms", static_cast<double>(ms_since(m_first_at)));
    }
    write_log(m_core, line);
    m_core.counters.add(fmt::format("requests_total{{outcome=\"{}\"}}", outcome));
    m_core.counters.observe("request_ms", static_cast<double>(ms_since(now)));
}

} // namespace chicorylink::front
