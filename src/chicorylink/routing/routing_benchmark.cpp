#include "chicorylink/routing/admission_queue.hpp"
#include "chicorylink/routing/choose.hpp"
#include "chicorylink/routing/codec.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "testing.hpp"

#include <string>

#include <benchmark/benchmark.h>

namespace chicorylink::routing {
namespace {

using testing_support::at;
using testing_support::make_book;
using testing_support::make_request;
using testing_support::region;
using testing_support::route;

constexpr std::uint32_t slots = 16;

/// A session with eight prefix blocks.
prompt_prefix make_session(std::uint64_t session)
{
    prompt_prefix session_prefix{.session = prefix_hash{base::hash_pair(session, 0)}, .blocks = {}};
    for (std::uint64_t block = 1; block <= 8; ++block) {
        session_prefix.blocks.emplace_back(base::hash_pair(session, block));
    }
    return session_prefix;
}

region_state make_state(int targets)
{
    region_state state;
    state.region = region("north");
    state.route = route();
    const auto book = make_book(targets, slots);
    for (const auto* rule : book->targets_of(route(), state.region)) {
        target_state target{.id = rule->id, .slots = slots};
        on_report(target, {.running = static_cast<std::uint32_t>(rule->id.value() % 12)}, at(0));
        state.targets.push_back(target);
    }
    state.mean_use = 0.5;
    return state;
}

/// Chooses among the targets of a region, without a router.
void choose_target_benchmark(benchmark::State& run)
{
    auto state = make_state(static_cast<int>(run.range(0)));
    auto req = make_request(1, "wide");
    req.prefix = make_session(1);
    state.hints.remember(req.prefix.blocks, state.targets[0].id, at(0));
    std::uint64_t bits = 1;
    for (auto step : run) {
        bits = base::hash_pair(bits, 1);
        benchmark::DoNotOptimize(choose_target(state, req, {}, at(1), bits));
    }
}
BENCHMARK(choose_target_benchmark)->Arg(7)->Arg(100)->Arg(600);

/// Runs one request through the router: submit, first token, end.
void router_benchmark(benchmark::State& run)
{
    router tested({.region = region("north")});
    (void)tested.on_rules(make_book(static_cast<int>(run.range(0)), slots), at(0));
    std::uint64_t id = 0;
    for (auto step : run) {
        auto req = make_request(++id, "wide");
        req.prefix = make_session(id % 1000);
        benchmark::DoNotOptimize(tested.submit(req, at(1)));
        tested.on_first_token(req.id, route(), base::milliseconds{50}, at(1));
        benchmark::DoNotOptimize(tested.on_attempt_finished(
            {.id = req.id, .route = route(), .latency = base::milliseconds{50}}, at(1)));
    }
}
BENCHMARK(router_benchmark)->Arg(7)->Arg(100)->Arg(600);

/// Passes one request through a queue in which many teams wait.
void queue_benchmark(benchmark::State& run)
{
    admission_queue queue({.total = 100'000, .per_team = 1000});
    const auto teams = static_cast<std::uint64_t>(run.range(0));
    std::uint64_t id = 0;
    std::vector<request> waiting;
    for (std::uint64_t team = 0; team < teams; ++team) {
        waiting.push_back(make_request(++id, "team-" + std::to_string(team)));
        (void)queue.push(waiting.back(), 1, at(0));
    }
    for (auto step : run) {
        auto next = queue.pop(at(1));
        (void)queue.push(std::move(*next), 1, at(1));
    }
}
BENCHMARK(queue_benchmark)->Arg(5)->Arg(1000)->Arg(27'000);

/// Reports memory and message sizes as counters.
void memory_benchmark(benchmark::State& run)
{
    for (auto step : run) {
        benchmark::ClobberMemory();
    }
    const region_state state;
    run.counters["bytes_per_target"] = sizeof(target_state);
    run.counters["bytes_of_hints_per_route"] = static_cast<double>(state.hints.memory_bytes());
    run.counters["bytes_of_sessions_per_route"] =
        static_cast<double>(session_regions::memory_bytes());
    run.counters["bytes_per_waiting_request"] = sizeof(request);
    region_summary message;
    message.routes.resize(8);
    run.counters["bytes_of_summary_8_routes"] = static_cast<double>(encode(message).size());
    message.routes.resize(9);
    run.counters["bytes_of_summary_9_routes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(memory_benchmark);

} // namespace
} // namespace chicorylink::routing

BENCHMARK_MAIN();
