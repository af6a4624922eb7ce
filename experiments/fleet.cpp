#include "fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::experiment {

/// @brief An engine or a plain service and what is around it.
struct fleet::engine_place {
    base::target_id id;
    std::size_t region = 0;
    bool is_service = false;
    bool alive = true;
    bool silent = false;
    engine_model model;
    /// Event timers of earlier states are ignored.
    std::uint64_t timer = 0;
};

/// @brief One call on its way.
struct fleet::request_state {
    const call* asked = nullptr;
    std::size_t entry = 0;
    /// The VM that holds it now.
    std::size_t vm = 0;
    std::uint8_t hop = 0;
    std::size_t attempts = 0;
    std::uint64_t attempt = 0;
    engine_place* place = nullptr;
    base::time_point sent_at{};
    bool queued = false;
    bool answered = false;
    bool done = false;
    std::vector<base::target_id> tried;
    std::vector<base::region_id> tried_regions;
};

namespace {

using base::milliseconds;

constexpr milliseconds local_delay{1};
constexpr milliseconds wide_delay{55};
constexpr milliseconds tick_period{10};
constexpr milliseconds report_period{250};
constexpr milliseconds summary_period{1000};
constexpr milliseconds list_lag{2000};
constexpr milliseconds cache_event_lag{1000};
constexpr double cache_event_loss = 0.3;
constexpr milliseconds forward_timeout{1000};
constexpr milliseconds patience{20'000};
constexpr std::size_t max_attempts = 4;

/// The first part of a run fills caches and is not measured.
constexpr milliseconds settling{40'000};

/// Work that is under way at the end of the schedule is followed for this long.
constexpr milliseconds tail{60'000};

constexpr double bytes_per_token = 4.0;
constexpr double bytes_per_answer_token = 60.0;
constexpr double fixed_bytes = 600.0;

double request_bytes(const call& asked)
{
    return fixed_bytes + bytes_per_token * static_cast<double>(asked.prompt_tokens);
}

double answer_bytes(const call& asked)
{
    return fixed_bytes + bytes_per_answer_token * static_cast<double>(asked.answer_tokens);
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

fleet::fleet(const user& who, const experiment_case& what, routing::policy_function policy,
             std::uint64_t seed)
    : m_user(who), m_case(what), m_random(seed)
{
    const auto book = make_rules(who);
    for (std::size_t region = 0; region < region_count; ++region) {
        for (std::uint32_t index = 0; index <= who.engines[region]; ++index) {
            const auto name = region_name(region) + "-" + std::to_string(index);
            auto place = std::make_unique<engine_place>(
                engine_place{.id = base::id_of<base::target_id>(name),
                             .region = region,
                             .is_service = index == who.engines[region],
                             .model = engine_model(who.engine)});
            m_by_id[place->id] = place.get();
            m_engines.push_back(std::move(place));
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
    start_clocks();
    for (std::uint64_t id = 0; id < calls.size(); ++id) {
        const auto region = calls[id].region;
        const auto vm = region * vms_per_region + m_random() % vms_per_region;
        m_requests.push_back(std::make_unique<request_state>(request_state{
            .asked = &calls[id], .entry = vm, .vm = vm, .tried = {}, .tried_regions = {}}));
        m_events.push({calls[id].at + local_delay, ++m_order, [this, id] { arrive(id); }});
    }
    for (const auto& one : m_case.faults) {
        m_events.push({epoch + one.after, ++m_order, [this, one] { apply_fault(one); }});
    }
    run_until(epoch + m_case.amount.length + tail);
    std::int64_t prefilled = 0;
    for (const auto& place : m_engines) {
        m_record.target_seconds += place->model.target_seconds();
        prefilled += place->model.prefilled_tokens();
    }
    m_record.recomputed_tokens = std::max<std::int64_t>(prefilled - m_needed_prefill, 0);
    return m_record;
}

void fleet::after(base::nanoseconds span, std::function<void()> act)
{
    m_events.push({m_now + span, ++m_order, std::move(act)});
}

void fleet::run_until(base::time_point end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.act();
    }
}

void fleet::start_clocks()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        after(milliseconds{m_random() % report_period.count()},
              [this, engine] { poll_engine(engine); });
    }
    for (std::size_t vm = 0; vm < m_routers.size(); ++vm) {
        after(milliseconds{m_random() % summary_period.count()},
              [this, vm] { exchange_summaries(vm); });
        after(milliseconds{m_random() % tick_period.count()}, [this, vm] { tick(vm); });
    }
}

void fleet::poll_engine(std::size_t engine)
{
    after(report_period, [this, engine] { poll_engine(engine); });
    const auto& place = *m_engines[engine];
    if (!place.alive || place.silent) {
        return;
    }
    auto report = place.model.report();
    report.age = m_case.report_lag;
    for (std::size_t index = 0; index < vms_per_region; ++index) {
        const auto lost = std::uniform_real_distribution<double>(0, 1)(m_random);
        if (lost < m_case.report_loss) {
            continue;
        }
        const auto vm = place.region * vms_per_region + index;
        after(m_case.report_lag, [this, vm, report, id = place.id] {
            apply(vm, m_routers[vm]->on_target_report(id, report, m_now));
        });
    }
}

void fleet::exchange_summaries(std::size_t vm)
{
    after(summary_period, [this, vm] { exchange_summaries(vm); });
    const auto message = m_routers[vm]->summary(m_now);
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        if (region_of_vm(other) == region_of_vm(vm) ||
            parted(region_of_vm(vm), region_of_vm(other))) {
            continue;
        }
        after(wide_delay,
              [this, other, message] { m_routers[other]->on_region_summary(message, m_now); });
    }
}

void fleet::tick(std::size_t vm)
{
    after(tick_period, [this, vm] { tick(vm); });
    apply(vm, m_routers[vm]->tick(m_now));
}

void fleet::apply_fault(const fault& one)
{
    using kind = fault::kind;
    if (one.what == kind::part_region || one.what == kind::heal_region) {
        m_parted[one.region] = one.what == kind::part_region;
        return;
    }
    auto& place = engine_of(one.region, one.engine);
    if (one.what == kind::lose_engine) {
        lose_engine(place);
    }
    if (one.what == kind::return_engine) {
        return_engine(place);
    }
    if (one.what == kind::slow_engine) {
        place.model.set_slowness(one.factor, m_now);
        watch(place);
    }
    if (one.what == kind::silence_engine || one.what == kind::hear_engine) {
        place.silent = one.what == kind::silence_engine;
    }
}

void fleet::lose_engine(engine_place& place)
{
    place.alive = false;
    ++place.timer;
    for (const auto attempt : place.model.restart(m_now)) {
        const auto id = m_by_attempt.at(attempt);
        end_attempt(id, routing::attempt_outcome::failed);
        retry_elsewhere(id);
    }
    after(list_lag, [this, id = place.id] {
        for (const auto& one : m_routers) {
            one->on_target_state(id, routing::target_availability::leaving, m_now);
        }
    });
}

void fleet::return_engine(engine_place& place)
{
    place.alive = true;
    after(list_lag, [this, id = place.id] {
        for (const auto& one : m_routers) {
            one->on_target_state(id, routing::target_availability::live, m_now);
        }
    });
}

fleet::engine_place& fleet::engine_of(std::size_t region, std::size_t engine)
{
    std::size_t first = 0;
    for (std::size_t before = 0; before < region; ++before) {
        first += m_user.engines[before] + 1;
    }
    return *m_engines[first + engine];
}

bool fleet::parted(std::size_t a, std::size_t b) const
{
    return a != b && (m_parted[a] || m_parted[b]);
}

void fleet::arrive(std::uint64_t id)
{
    if (counts(*m_requests[id]->asked)) {
        ++m_record.calls;
    }
    after(patience, [this, id] { give_up(id); });
    submit(id, m_requests[id]->entry);
}

void fleet::submit(std::uint64_t id, std::size_t vm)
{
    auto& state = *m_requests[id];
    const auto& asked = *state.asked;
    state.vm = vm;
    const routing::request made{.id = routing::request_id{id},
                                .team = base::id_of<base::team_id>(team_name(asked.team)),
                                .route = route_of(state),
                                .order = asked.order,
                                .prompt_tokens = base::tokens{asked.prompt_tokens},
                                .answer_tokens = base::tokens{asked.answer_tokens},
                                .body =
                                    base::bytes{static_cast<std::int64_t>(request_bytes(asked))},
                                .prefix = asked.prefix,
                                .deadline = asked.at + patience,
                                .hop = state.hop,
                                .tried = state.tried,
                                .tried_regions = state.tried_regions};
    apply(vm, m_routers[vm]->submit(made, m_now));
}

void fleet::apply(std::size_t vm, const std::vector<routing::decision>& made)
{
    for (const auto& one : made) {
        apply(vm, one);
    }
}

void fleet::apply(std::size_t vm, const routing::decision& made)
{
    const auto id = made.id.value();
    auto& state = *m_requests[id];
    state.queued = made.kind == routing::decision_kind::queued;
    switch (made.kind) {
    case routing::decision_kind::dispatched:
        dispatch(id, vm, made.target);
        return;
    case routing::decision_kind::queued:
        return;
    case routing::decision_kind::forward:
        forward(id, vm, made.region);
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
    state.place = m_by_id.at(target);
    state.sent_at = m_now;
    state.attempt = ++m_order;
    ++state.attempts;
    after(local_delay, [this, id, attempt = state.attempt] { begin_at_engine(id, attempt); });
}

void fleet::begin_at_engine(std::uint64_t id, std::uint64_t attempt)
{
    auto& state = *m_requests[id];
    if (state.done || state.attempt != attempt) {
        return;
    }
    if (!state.place->alive) {
        end_attempt(id, routing::attempt_outcome::failed);
        retry_elsewhere(id);
        return;
    }
    if (state.attempts == 1) {
        note_prefill(*state.asked);
    }
    state.place->model.submit({.id = attempt,
                               .blocks = state.asked->blocks_after,
                               .prompt_tokens = state.asked->prompt_tokens,
                               .answer_tokens = state.asked->answer_tokens,
                               .order = state.asked->order},
                              m_now);
    m_by_attempt[attempt] = id;
    watch(*state.place);
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
    if (parted(region_of_vm(vm), region)) {
        after(forward_timeout, [this, id, vm] {
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
    if (counts(*state.asked)) {
        ++m_record.sent_away;
    }
    const auto remote = region * vms_per_region + m_random() % vms_per_region;
    after(transfer(region_of_vm(vm), region, request_bytes(*state.asked)), [this, id, remote] {
        if (!m_requests[id]->done) {
            submit(id, remote);
        }
    });
}

void fleet::return_to_entry(std::uint64_t id)
{
    after(wide_delay, [this, id] {
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
    if (counts(*state.asked) && !state.answered) {
        ++m_record.refused;
    }
}

void fleet::give_up(std::uint64_t id)
{
    auto& state = *m_requests[id];
    if (state.done || state.answered) {
        return;
    }
    if (state.queued) {
        m_routers[state.vm]->cancel(routing::request_id{id}, route_of(state));
    }
    else if (state.place != nullptr) {
        state.place->model.cancel(state.attempt, m_now);
        watch(*state.place);
        end_attempt(id, routing::attempt_outcome::cancelled);
    }
    refuse(id);
}

void fleet::end_attempt(std::uint64_t id, routing::attempt_outcome outcome)
{
    auto& state = *m_requests[id];
    const auto vm = state.vm;
    if (state.place != nullptr) {
        state.tried.push_back(state.place->id);
    }
    m_by_attempt.erase(state.attempt);
    state.place = nullptr;
    const auto made = m_routers[vm]->on_attempt_finished({.id = routing::request_id{id},
                                                          .route = route_of(state),
                                                          .outcome = outcome,
                                                          .latency = m_now - state.sent_at},
                                                         m_now);
    apply(vm, made);
}

void fleet::on_engine_event(engine_place& place, const engine_event& event)
{
    const auto found = m_by_attempt.find(event.id);
    if (found == m_by_attempt.end()) {
        return;
    }
    const auto id = found->second;
    auto& state = *m_requests[id];
    const auto crosses = state.hop > 0;
    const auto home = region_of_vm(state.entry);
    if (event.what == engine_event::kind::first_token) {
        m_routers[state.vm]->on_first_token(routing::request_id{id}, route_of(state),
                                            m_now - state.sent_at, m_now);
        publish_cache(place, *state.asked);
        if (state.answered || (crosses && parted(home, place.region))) {
            return;
        }
        state.answered = true;
        const auto way = local_delay * 2 + (crosses ? wide_delay : milliseconds{0});
        const std::chrono::duration<double, std::milli> taken = m_now + way - state.asked->at;
        if (counts(*state.asked)) {
            ++m_record.answered;
            m_record.first_token_ms[state.asked->team].push_back(taken.count());
        }
        return;
    }
    state.done = true;
    end_attempt(id, routing::attempt_outcome::succeeded);
    if (crosses) {
        const auto size = answer_bytes(*state.asked);
        (void)transfer(place.region, home, size);
        m_routers[state.entry]->on_forward_finished(routing::request_id{id}, route_of(state), true,
                                                    base::bytes{static_cast<std::int64_t>(size)},
                                                    m_now);
    }
}

void fleet::watch(engine_place& place)
{
    const auto timer = ++place.timer;
    const auto next = place.model.next_event();
    if (!next) {
        return;
    }
    after(std::max(*next - m_now, base::nanoseconds{1}), [this, &place, timer] {
        if (place.timer != timer) {
            return;
        }
        for (const auto& event : place.model.advance(m_now)) {
            on_engine_event(place, event);
        }
        watch(place);
    });
}

void fleet::publish_cache(const engine_place& place, const call& asked)
{
    if (asked.prefix.blocks.empty()) {
        return;
    }
    for (std::size_t index = 0; index < vms_per_region; ++index) {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < cache_event_loss) {
            continue;
        }
        const auto vm = place.region * vms_per_region + index;
        after(cache_event_lag, [this, vm, id = place.id, &asked] {
            m_routers[vm]->on_cache_hint(chat_route(), id, asked.prefix.blocks, m_now);
        });
    }
}

base::nanoseconds fleet::transfer(std::size_t from, std::size_t to, double size)
{
    m_record.bytes_between_regions += size;
    const std::chrono::duration<double> taken{size / static_cast<double>(m_user.link_rate.value())};
    auto& free_at = m_link_free[from][to];
    free_at = std::max(free_at, m_now) + std::chrono::duration_cast<base::nanoseconds>(taken);
    return free_at - m_now + wide_delay;
}

base::route_id fleet::route_of(const request_state& state) const
{
    return state.asked->is_service ? service_route() : chat_route();
}

bool fleet::counts(const call& asked) const
{
    return asked.at >= epoch + settling && asked.team != m_case.amount.busy_team;
}

void fleet::note_prefill(const call& asked)
{
    std::int64_t warm = 0;
    auto leading = true;
    for (const auto block : asked.prefix.blocks) {
        leading = leading && m_seen_blocks.contains(block);
        warm += leading ? routing::prefix_block_tokens : 0;
    }
    m_seen_blocks.insert(asked.blocks_after.begin(), asked.blocks_after.end());
    m_needed_prefill += std::max<std::int64_t>(asked.prompt_tokens - warm, 0);
}

} // namespace chicorylink::experiment
