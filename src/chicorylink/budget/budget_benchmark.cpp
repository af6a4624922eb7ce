#include "chicorylink/budget/testing/workload.hpp"

#include <malloc.h>

#include <benchmark/benchmark.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;
using testing::arrivals;
using testing::fleet_size;
using testing::workload;

constexpr double steady_load = 0.9;

/// The current fleet; its benchmarks are named `today_...`.
fleet_size current_size()
{
    return {};
}

/// The current fleet with a burst of 20 s of the rate, twice the default.
fleet_size current_size_20s()
{
    fleet_size size;
    size.burst_seconds = 20;
    return size;
}

/// The projected fleet; its benchmarks are named `large_...`.
fleet_size projected_size()
{
    fleet_size size;
    size.vms = 399;
    size.regions = 7;
    size.teams = 27'000;
    size.requests_per_second = 4'100;
    size.single_region_percent = 26;
    size.callers_use_preferred_vms = true;
    return size;
}

void report(benchmark::State& state, workload& load, std::uint64_t seed)
{
    const auto& counts = load.counts();
    state.counters["seed"] = static_cast<double>(seed);
    state.counters["sent"] = static_cast<double>(counts.sent);
    state.counters["oracle_admitted"] = static_cast<double>(counts.oracle_admitted);
    state.counters["wrongful"] = counts.share(counts.refused);
    state.counters["wrongful_safe_shared"] = counts.share(counts.refused_shared);
    state.counters["wrongful_static"] = counts.share(counts.refused_static);
    state.counters["wrongful_holder"] = counts.share(counts.refused_holder);
    state.counters["worst_excess_tokens"] = load.worst_excess_of_any();
}

/// Wrongful refusals and control traffic of a fleet without faults.
void steady(benchmark::State& state, const fleet_size& size, arrivals kind,
            testing::instant duration)
{
    constexpr std::uint64_t seed = 11;
    for (auto _ : state) {
        workload load(size, kind, seed, steady_load);
        load.run(10s);
        load.reset_counts();
        const auto messages = load.vms().message_count();
        const auto bytes = load.vms().byte_count();
        load.run(duration);
        const auto per_vm = std::chrono::duration<double>(duration).count() *
                            static_cast<double>(load.vms().size());
        state.counters["messages_per_vm_s"] =
            static_cast<double>(load.vms().message_count() - messages) / per_vm;
        state.counters["bytes_per_vm_s"] =
            static_cast<double>(load.vms().byte_count() - bytes) / per_vm;
        report(state, load, seed);
    }
}

BENCHMARK_CAPTURE(steady, today_uniform, current_size(), arrivals::uniform, 600s)->Iterations(1);
BENCHMARK_CAPTURE(steady, today_skewed, current_size(), arrivals::skewed, 600s)->Iterations(1);
BENCHMARK_CAPTURE(steady, today_bursty, current_size(), arrivals::bursty, 600s)->Iterations(1);
BENCHMARK_CAPTURE(steady, today_uniform_burst_20s, current_size_20s(), arrivals::uniform, 600s)
    ->Iterations(1);
BENCHMARK_CAPTURE(steady, today_skewed_burst_20s, current_size_20s(), arrivals::skewed, 600s)
    ->Iterations(1);
BENCHMARK_CAPTURE(steady, large_uniform, projected_size(), arrivals::uniform, 20s)->Iterations(1);
BENCHMARK_CAPTURE(steady, large_skewed, projected_size(), arrivals::skewed, 20s)->Iterations(1);
BENCHMARK_CAPTURE(steady, large_bursty, projected_size(), arrivals::bursty, 20s)->Iterations(1);

enum class fault { instant_restart, crash, paused_and_replaced, drain, region_partitioned };

void inject(workload& load, fault fault_kind, std::size_t vm)
{
    auto& vms = load.vms();
    switch (fault_kind) {
    case fault::instant_restart:
        vms.crash(vm);
        vms.restart(vm);
        break;
    case fault::crash:
        vms.crash(vm);
        // The platform removes the VM from its list after a delay.
        vms.at(vms.now() + 5s, [&vms, vm] { vms.set_listed(vm, false); });
        break;
    case fault::paused_and_replaced:
        vms.pause(vm);
        vms.set_listed(vm, false);
        vms.add_vm(vms.view_of(vm).members.at(0).region);
        break;
    case fault::drain:
        vms.set_leaving(vm);
        vms.at(vms.now() + 5s, [&vms, vm] {
            vms.set_listed(vm, false);
            vms.crash(vm);
        });
        break;
    case fault::region_partitioned:
        for (std::size_t other = 0; other < vms.size(); ++other) {
            if (other % load.size().regions != vm % load.size().regions) {
                for (auto inside = vm % load.size().regions; inside < vms.size();
                     inside += load.size().regions) {
                    vms.set_partitioned(inside, other, true);
                }
            }
        }
        break;
    }
}

/// Refusals in the 60 s after a fault, and the time until all slots are owned again.
void recovery(benchmark::State& state, const fleet_size& size, fault fault_kind)
{
    constexpr std::uint64_t seed = 12;
    for (auto _ : state) {
        workload load(size, arrivals::uniform, seed, steady_load);
        load.run(10s);
        load.reset_counts();
        const auto start = load.vms().now();
        inject(load, fault_kind, 4);
        double lowest = 1;
        double recovered_after = 0;
        for (int step = 0; step < 600; ++step) {
            load.run(100ms);
            const auto share = load.owned_share();
            lowest = std::min(lowest, share);
            if (share < 1) {
                recovered_after = std::chrono::duration<double>(load.vms().now() - start).count();
            }
        }
        state.counters["lowest_owned_share"] = lowest;
        state.counters["full_rate_after_s"] = recovered_after;
        report(state, load, seed);
    }
}

BENCHMARK_CAPTURE(recovery, today_instant_restart, current_size(), fault::instant_restart)
    ->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_crash, current_size(), fault::crash)->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_replaced, current_size(), fault::paused_and_replaced)
    ->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_crash_burst_20s, current_size_20s(), fault::crash)->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_replaced_burst_20s, current_size_20s(),
                  fault::paused_and_replaced)
    ->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_drain, current_size(), fault::drain)->Iterations(1);
BENCHMARK_CAPTURE(recovery, today_region_parted, current_size(), fault::region_partitioned)
    ->Iterations(1);
BENCHMARK_CAPTURE(recovery, large_crash, projected_size(), fault::crash)->Iterations(1);

/// One VM that owns all slots, to measure the cost of a decision.
struct single_vm {
    explicit single_vm(std::size_t teams)
        : core({base::id_of<base::vm_id>("vm"), base::id_of<base::region_id>("a"),
                base::incarnation{1}},
               {}, now)
    {
        rules::rulebook_builder builder{base::config_version{1}};
        builder.add(rules::region{base::id_of<base::region_id>("a"), "a", {}});
        for (std::size_t index = 0; index < teams; ++index) {
            rules::team team_rules;
            team_rules.name = "team-" + std::to_string(index);
            team_rules.id = base::id_of<base::team_id>(team_rules.name);
            team_rules.regions = {base::id_of<base::region_id>("a")};
            team_rules.rate = base::tokens_per_second{1'000'000'000};
            team_rules.burst = base::tokens{1'000'000'000};
            ids.push_back(team_rules.id);
            builder.add(team_rules);
        }
        (void)core.on_rules(builder.build().value(), now);
        membership::view member_list;
        member_list.self = base::id_of<base::vm_id>("vm");
        membership::member self;
        self.id = member_list.self;
        self.region = base::id_of<base::region_id>("a");
        self.state = membership::member_state::live;
        member_list.members.push_back(self);
        member_list.list_is_fresh = true;
        member_list.member_until = now + std::chrono::hours(24);
        (void)core.on_view(member_list, now);
        now += 11s;
        (void)core.tick(now);
        now += 60s;
    }

    base::time_point now{1h};
    std::vector<base::team_id> ids;
    engine core;
};

void admission_decision(benchmark::State& state)
{
    single_vm node(static_cast<std::size_t>(state.range(0)));
    std::size_t next = 0;
    std::uint64_t refusals = 0;
    effects result;
    for (auto _ : state) {
        next = next * 7 + 1 < node.ids.size() ? next * 7 + 1 : (next + 13) % node.ids.size();
        node.now += 10us;
        const auto verdict =
            node.core.reserve({node.ids[next], base::tokens{1000}, node.now}, node.now, result);
        const auto* grant = std::get_if<granted>(&verdict);
        refusals += grant == nullptr ? 1 : 0;
        if (grant != nullptr) {
            (void)node.core.settle(grant->id, base::tokens{600}, node.now);
        }
    }
    state.counters["refusals"] = static_cast<double>(refusals);
}
BENCHMARK(admission_decision)->Arg(5)->Arg(27'000);

void memory_of_teams(benchmark::State& state)
{
    for (auto _ : state) {
        single_vm node(27'000);
        effects result;
        const auto idle = mallinfo2().uordblks;
        for (const auto team : node.ids) {
            const auto verdict =
                node.core.reserve({team, base::tokens{1000}, node.now}, node.now, result);
            if (const auto* grant = std::get_if<granted>(&verdict)) {
                (void)node.core.settle(grant->id, base::tokens{1000}, node.now);
            }
        }
        const auto active = mallinfo2().uordblks;
        node.now += 60s;
        (void)node.core.tick(node.now);
        const auto after = mallinfo2().uordblks;
        const auto teams = static_cast<double>(node.ids.size());
        state.counters["bytes_active_team"] = static_cast<double>(active - idle) / teams;
        state.counters["bytes_idle_team_after_use"] =
            (static_cast<double>(after) - static_cast<double>(idle)) / teams;
        state.counters["accounts_left"] = static_cast<double>(node.core.account_count());
    }
}
BENCHMARK(memory_of_teams)->Iterations(1);

} // namespace
} // namespace chicorylink::budget

BENCHMARK_MAIN();
