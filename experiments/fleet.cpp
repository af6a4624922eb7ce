#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::experiment {

/// @brief A simulated engine or plain service.
struct fleet::simulated_backend {
    base::target_id id;
    std::size_t region = 0;
    bool is_service = false;
    bool alive = true;
    bool reports_stopped = false;
    engine_model model;
    /// Number of the newest event timer; older timers are ignored.
    std::uint64_t timer = 0;
};

/// @brief State of one call.
struct fleet::request_state {
    const call* scheduled = nullptr;
    std::size_t entry = 0;
    /// The VM that handles it now.
    std::size_t vm = 0;
    std::uint8_t hop = 0;
    std::size_t attempts = 0;
    std::uint64_t attempt = 0;
    simulated_backend* backend = nullptr;
    base::time_point sent_at{};
    bool queued = false;
    bool answered = false;
    bool done = false;
    std::vector<base::target_id> tried;
    std::vector<base::region_id> tried_regions;
};

namespace {

using base::milliseconds;

constexpr milliseconds intra_region_delay{1};
constexpr milliseconds inter_region_delay{55};
constexpr milliseconds tick_period{10};
constexpr milliseconds report_period{250};
constexpr milliseconds summary_period{1000};
constexpr milliseconds list_lag{2000};
constexpr milliseconds cache_event_lag{1000};
constexpr double cache_event_loss = 0.3;
constexpr milliseconds forward_timeout{1000};
constexpr milliseconds request_timeout{20'000};
constexpr std::size_t max_attempts = 4;

/// Fills the caches; calls in this time are not measured.
constexpr milliseconds warm_up{40'000};

/// Time for calls still in progress at the end of the schedule.
constexpr milliseconds drain_time{60'000};

constexpr double bytes_per_token = 4.0;
constexpr double bytes_per_response_token = 60.0;
constexpr double overhead_bytes = 600.0;

double request_bytes(const call& scheduled)
{
    return overhead_bytes + bytes_per_token * static_cast<double>(scheduled.prompt_tokens);
}

double response_bytes(const call& scheduled)
{
    return overhead_bytes + bytes_per_response_token * static_cast<double>(scheduled.answer_tokens);
}

std::size_t region_of_vm(std::size_t vm)
{
    return vm / vms_per_region;
}

base::region_id region_id_of(std::size_t region)
{
    return base::id_of<base::region_id>(region_name(region));
}

} // namespace

fleet::fleet(const user& profile, const experiment_case& test_case, routing::policy_function policy,
             std::uint64_t seed)
    : m_user(profile), m_case(test_case), m_random(seed)
{
    const auto book = make_rules(profile);
    for (std::size_t region = 0; region < region_count; ++region) {
        for (std::uint32_t index = 0; index <= profile.engines[region]; ++index) {
            const auto name = region_name(region) + "-" + std::to_string(index);
            auto backend = std::make_unique<simulated_backend>(
                simulated_backend{.id = base::id_of<base::target_id>(name),
                                  .region = region,
                                  .is_service = index == profile.engines[region],
                                  .model = engine_model(profile.engine)});
            m_backends_by_id[backend->id] = backend.get();
            m_backends.push_back(std::move(backend));
        }
        for (std::size_t index = 0; index < vms_per_region; ++index) {
            const auto vm = m_routers.size();
            m_routers.push_back(std::make_unique<routing::router>(
                routing::router_settings{.region = region_id_of(region),
                                         .self = base::vm_id{vm + 1},
                                         .process = base::incarnation{vm + 1},
                                         .seed = base::hash_pair(seed, vm),
                                         .policy = policy}));
            m_routers.back()->on_region_vms(vms_per_region);
            (void)m_routers.back()->on_rules(book, m_now);
        }
    }
    m_record.first_token_ms.resize(team_count);
}

fleet::~fleet() = default;

run_record fleet::run(const std::vector<call>& calls)
{
    start_timers();
    for (std::uint64_t id = 0; id < calls.size(); ++id) {
        const auto region = calls[id].region;
        const auto vm = region * vms_per_region + m_random() % vms_per_region;
        m_requests.push_back(std::make_unique<request_state>(request_state{
            .scheduled = &calls[id], .entry = vm, .vm = vm, .tried = {}, .tried_regions = {}}));
        m_events.push(
            {calls[id].at + intra_region_delay, ++m_sequence, [this, id] { arrive(id); }});
    }
    for (const auto& one : m_case.faults) {
        m_events.push({epoch + one.after, ++m_sequence, [this, one] { apply_fault(one); }});
    }
    run_until(epoch + m_case.amount.length + drain_time);
    std::int64_t prefilled = 0;
    for (const auto& backend : m_backends) {
        m_record.target_seconds += backend->model.target_seconds();
        prefilled += backend->model.prefilled_tokens();
    }
    m_record.recomputed_tokens = std::max<std::int64_t>(prefilled - m_needed_prefill, 0);
    return m_record;
}

void fleet::schedule_after(base::nanoseconds delay, std::function<void()> action)
{
    m_events.push({m_now + delay, ++m_sequence, std::move(action)});
}

void fleet::run_until(base::time_point end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
}

void fleet::start_timers()
{
    for (std::size_t engine = 0; engine < m_backends.size(); ++engine) {
        schedule_after(milliseconds{m_random() % report_period.count()},
                       [this, engine] { poll_engine(engine); });
    }
    for (std::size_t vm = 0; vm < m_routers.size(); ++vm) {
        schedule_after(milliseconds{m_random() % summary_period.count()},
                       [this, vm] { send_summaries(vm); });
        schedule_after(milliseconds{m_random() % tick_period.count()}, [this, vm] { tick(vm); });
    }
}

void fleet::poll_engine(std::size_t engine)
{
    schedule_after(report_period, [this, engine] { poll_engine(engine); });
    const auto& backend = *m_backends[engine];
    if (!backend.alive || backend.reports_stopped) {
        return;
    }
    auto report = backend.model.report();
    report.age = m_case.report_lag;
    for (std::size_t index = 0; index < vms_per_region; ++index) {
        const auto lost = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (lost < m_case.report_loss) {
            continue;
        }
        const auto vm = backend.region * vms_per_region + index;
        schedule_after(m_case.report_lag, [this, vm, report, id = backend.id] {
            apply(vm, m_routers[vm]->on_target_report(id, report, m_now));
        });
    }
}

void fleet::send_summaries(std::size_t vm)
{
    schedule_after(summary_period, [this, vm] { send_summaries(vm); });
    const auto message = m_routers[vm]->summary(m_now);
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        if (region_of_vm(other) == region_of_vm(vm) ||
            partitioned(region_of_vm(vm), region_of_vm(other))) {
            continue;
        }
        schedule_after(inter_region_delay, [this, other, message] {
            m_routers[other]->on_region_summary(message, m_now);
        });
    }
}

void fleet::tick(std::size_t vm)
{
    schedule_after(tick_period, [this, vm] { tick(vm); });
    apply(vm, m_routers[vm]->tick(m_now));
}

void fleet::apply_fault(const fault& one)
{
    using kind = fault::kind;
    if (one.type == kind::partition_region || one.type == kind::heal_region) {
        m_partitioned[one.region] = one.type == kind::partition_region;
        return;
    }
    auto& backend = engine_of(one.region, one.engine);
    if (one.type == kind::crash_engine) {
        crash_engine(backend);
    }
    if (one.type == kind::recover_engine) {
        recover_engine(backend);
    }
    if (one.type == kind::slow_engine) {
        backend.model.set_slowdown(one.factor, m_now);
        schedule_next_event(backend);
    }
    if (one.type == kind::stop_reports || one.type == kind::resume_reports) {
        backend.reports_stopped = one.type == kind::stop_reports;
    }
}

void fleet::crash_engine(simulated_backend& backend)
{
    backend.alive = false;
    ++backend.timer;
    for (const auto attempt : backend.model.restart(m_now)) {
        const auto id = m_requests_by_attempt.at(attempt);
        end_attempt(id, routing::attempt_outcome::failed);
        retry_elsewhere(id);
    }
    schedule_after(list_lag, [this, id = backend.id] {
        for (const auto& one : m_routers) {
            one->on_target_state(id, routing::target_availability::leaving, m_now);
        }
    });
}

void fleet::recover_engine(simulated_backend& backend)
{
    backend.alive = true;
    schedule_after(list_lag, [this, id = backend.id] {
        for (const auto& one : m_routers) {
            one->on_target_state(id, routing::target_availability::live, m_now);
        }
    });
}

fleet::simulated_backend& fleet::engine_of(std::size_t region, std::size_t engine)
{
    std::size_t first = 0;
    for (std::size_t before = 0; before < region; ++before) {
        first += m_user.engines[before] + 1;
    }
    return *m_backends[first + engine];
}

bool fleet::partitioned(std::size_t a, std::size_t b) const
{
    return a != b && (m_partitioned[a] || m_partitioned[b]);
}

void fleet::arrive(std::uint64_t id)
{
    if (is_measured(*m_requests[id]->scheduled)) {
        ++m_record.calls;
    }
    schedule_after(request_timeout, [this, id] { time_out(id); });
    submit(id, m_requests[id]->entry);
}

void fleet::submit(std::uint64_t id, std::size_t vm)
{
    auto& state = *m_requests[id];
    const auto& scheduled = *state.scheduled;
    state.vm = vm;
    const routing::request new_request{
        .id = routing::request_id{id},
        .team = base::id_of<base::team_id>(team_name(scheduled.team)),
        .route = route_of(state),
        .order = scheduled.order,
        .prompt_tokens = base::tokens{scheduled.prompt_tokens},
        .answer_tokens = base::tokens{scheduled.answer_tokens},
        .body = base::bytes{static_cast<std::int64_t>(request_bytes(scheduled))},
        .prefix = scheduled.prefix,
        .deadline = scheduled.at + request_timeout,
        .hop = state.hop,
        .tried = state.tried,
        .tried_regions = state.tried_regions};
    apply(vm, m_routers[vm]->submit(new_request, m_now));
}

void fleet::apply(std::size_t vm, const std::vector<routing::decision>& decisions)
{
    for (const auto& one : decisions) {
        apply(vm, one);
    }
}

void fleet::apply(std::size_t vm, const routing::decision& routed)
{
    const auto id = routed.id.value();
    auto& state = *m_requests[id];
    state.queued = routed.kind == routing::decision_kind::queued;
    switch (routed.kind) {
    case routing::decision_kind::dispatched:
        dispatch(id, vm, routed.target);
        return;
    case routing::decision_kind::queued:
        return;
    case routing::decision_kind::forward:
        forward(id, vm, routed.region);
        return;
    case routing::decision_kind::refused:
        break;
    }
    if (state.hop > 0) {
        return_to_entry(id);
        return;
    }
    refuse(id);
}

void fleet::dispatch(std::uint64_t id, std::size_t /*vm*/, base::target_id target)
{
    auto& state = *m_requests[id];
    state.backend = m_backends_by_id.at(target);
    state.sent_at = m_now;
    state.attempt = ++m_sequence;
    ++state.attempts;
    schedule_after(intra_region_delay,
                   [this, id, attempt = state.attempt] { start_at_backend(id, attempt); });
}

void fleet::start_at_backend(std::uint64_t id, std::uint64_t attempt)
{
    auto& state = *m_requests[id];
    if (state.done || state.attempt != attempt) {
        return;
    }
    if (!state.backend->alive) {
        end_attempt(id, routing::attempt_outcome::failed);
        retry_elsewhere(id);
        return;
    }
    if (state.attempts == 1) {
        record_needed_prefill(*state.scheduled);
    }
    state.backend->model.submit({.id = attempt,
                                 .blocks = state.scheduled->blocks_after,
                                 .prompt_tokens = state.scheduled->prompt_tokens,
                                 .answer_tokens = state.scheduled->answer_tokens,
                                 .order = state.scheduled->order},
                                m_now);
    m_requests_by_attempt[attempt] = id;
    schedule_next_event(*state.backend);
}

void fleet::retry_elsewhere(std::uint64_t id)
{
    auto& state = *m_requests[id];
    if (state.done) {
        return;
    }
    if (state.answered) {
        state.done = true;
        return;
    }
    if (state.attempts >= max_attempts) {
        refuse(id);
        return;
    }
    submit(id, state.vm);
}

void fleet::forward(std::uint64_t id, std::size_t vm, base::region_id where)
{
    auto& state = *m_requests[id];
    std::size_t region = 0;
    while (region_id_of(region) != where) {
        ++region;
    }
    state.tried_regions.push_back(where);
    if (partitioned(region_of_vm(vm), region)) {
        schedule_after(forward_timeout, [this, id, vm] {
            auto& waiting = *m_requests[id];
            m_routers[vm]->on_forward_finished(routing::request_id{id}, route_of(waiting), false,
                                               base::bytes{0}, m_now);
            if (!waiting.done) {
                submit(id, vm);
            }
        });
        return;
    }
    state.hop = 1;
    if (is_measured(*state.scheduled)) {
        ++m_record.sent_away;
    }
    const auto remote = region * vms_per_region + m_random() % vms_per_region;
    schedule_after(transfer(region_of_vm(vm), region, request_bytes(*state.scheduled)),
                   [this, id, remote] {
                       if (!m_requests[id]->done) {
                           submit(id, remote);
                       }
                   });
}

void fleet::return_to_entry(std::uint64_t id)
{
    schedule_after(inter_region_delay, [this, id] {
        auto& state = *m_requests[id];
        state.hop = 0;
        m_routers[state.entry]->on_forward_finished(routing::request_id{id}, route_of(state), true,
                                                    base::bytes{0}, m_now);
        if (!state.done) {
            submit(id, state.entry);
        }
    });
}

void fleet::refuse(std::uint64_t id)
{
    auto& state = *m_requests[id];
    state.done = true;
    if (is_measured(*state.scheduled) && !state.answered) {
        ++m_record.refused;
    }
}

void fleet::time_out(std::uint64_t id)
{
    auto& state = *m_requests[id];
    if (state.done || state.answered) {
        return;
    }
    if (state.queued) {
        m_routers[state.vm]->cancel(routing::request_id{id}, route_of(state));
    }
    else if (state.backend != nullptr) {
        state.backend->model.cancel(state.attempt, m_now);
        schedule_next_event(*state.backend);
        end_attempt(id, routing::attempt_outcome::cancelled);
    }
    refuse(id);
}

void fleet::end_attempt(std::uint64_t id, routing::attempt_outcome outcome)
{
    auto& state = *m_requests[id];
    const auto vm = state.vm;
    if (state.backend != nullptr) {
        state.tried.push_back(state.backend->id);
    }
    m_requests_by_attempt.erase(state.attempt);
    state.backend = nullptr;
    const auto decisions = m_routers[vm]->on_attempt_finished({.id = routing::request_id{id},
                                                               .route = route_of(state),
                                                               .outcome = outcome,
                                                               .latency = m_now - state.sent_at},
                                                              m_now);
    apply(vm, decisions);
}

void fleet::on_engine_event(simulated_backend& backend, const engine_event& event)
{
    const auto found = m_requests_by_attempt.find(event.id);
    if (found == m_requests_by_attempt.end()) {
        return;
    }
    const auto id = found->second;
    auto& state = *m_requests[id];
    const auto is_remote = state.hop > 0;
    const auto home = region_of_vm(state.entry);
    if (event.type == engine_event::kind::first_token) {
        m_routers[state.vm]->on_first_token(routing::request_id{id}, route_of(state),
                                            m_now - state.sent_at, m_now);
        publish_cache(backend, *state.scheduled);
        if (state.answered || (is_remote && partitioned(home, backend.region))) {
            return;
        }
        state.answered = true;
        const auto network_delay =
            intra_region_delay * 2 + (is_remote ? inter_region_delay : milliseconds{0});
        const std::chrono::duration<double, std::milli> first_token_latency =
            m_now + network_delay - state.scheduled->at;
        if (is_measured(*state.scheduled)) {
            ++m_record.answered;
            m_record.first_token_ms[state.scheduled->team].push_back(first_token_latency.count());
        }
        return;
    }
    state.done = true;
    end_attempt(id, routing::attempt_outcome::succeeded);
    if (is_remote) {
        const auto size = response_bytes(*state.scheduled);
        (void)transfer(backend.region, home, size);
        m_routers[state.entry]->on_forward_finished(routing::request_id{id}, route_of(state), true,
                                                    base::bytes{static_cast<std::int64_t>(size)},
                                                    m_now);
    }
}

void fleet::schedule_next_event(simulated_backend& backend)
{
    const auto timer = ++backend.timer;
    const auto next = backend.model.next_event();
    if (!next) {
        return;
    }
    schedule_after(std::max(*next - m_now, base::nanoseconds{1}), [this, &backend, timer] {
        if (backend.timer != timer) {
            return;
        }
        for (const auto& event : backend.model.advance(m_now)) {
            on_engine_event(backend, event);
        }
        schedule_next_event(backend);
    });
}

void fleet::publish_cache(const simulated_backend& backend, const call& scheduled)
{
    if (scheduled.prefix.blocks.empty()) {
        return;
    }
    for (std::size_t index = 0; index < vms_per_region; ++index) {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < cache_event_loss) {
            continue;
        }
        const auto vm = backend.region * vms_per_region + index;
        schedule_after(cache_event_lag, [this, vm, id = backend.id, &scheduled] {
            m_routers[vm]->on_cache_hint(chat_route(), id, scheduled.prefix.blocks, m_now);
        });
    }
}

base::nanoseconds fleet::transfer(std::size_t from, std::size_t to, double size)
{
    m_record.bytes_between_regions += size;
    const std::chrono::duration<double> transfer_time{
        size / static_cast<double>(m_user.link_rate.value())};
    auto& free_at = m_link_free_at[from][to];
    free_at =
        std::max(free_at, m_now) + std::chrono::duration_cast<base::nanoseconds>(transfer_time);
    return free_at - m_now + inter_region_delay;
}

base::route_id fleet::route_of(const request_state& state) const
{
    return state.scheduled->is_service ? service_route() : chat_route();
}

bool fleet::is_measured(const call& scheduled) const
{
    return scheduled.at >= epoch + warm_up && scheduled.team != m_case.amount.busy_team;
}

void fleet::record_needed_prefill(const call& scheduled)
{
    std::int64_t cached_tokens = 0;
    auto leading = true;
    for (const auto block : scheduled.prefix.blocks) {
        leading = leading && m_seen_blocks.contains(block);
        cached_tokens += leading ? routing::prefix_block_tokens : 0;
    }
    m_seen_blocks.insert(scheduled.blocks_after.begin(), scheduled.blocks_after.end());
    m_needed_prefill += std::max<std::int64_t>(scheduled.prompt_tokens - cached_tokens, 0);
}

} // namespace chicorylink::experiment
