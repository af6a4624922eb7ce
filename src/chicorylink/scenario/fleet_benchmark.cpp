#include "chicorylink/membership/codec.hpp"
#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"
#include "chicorylink/scenario/config_process.hpp"
#include "chicorylink/scenario/membership_process.hpp"

#include <algorithm>
#include <malloc.h>
#include <map>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

namespace chicorylink::scenario {
namespace {

constexpr base::milliseconds settling_time{30'000};
constexpr base::milliseconds measured_time{60'000};
constexpr std::size_t fleet_teams = 200;
constexpr std::size_t large_teams = 27'000;

double seconds(base::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string rules_of(std::size_t teams, std::uint64_t rate)
{
    std::string text = "region r0 # lena: first\nregion r1 # lena: first\n";
    for (std::size_t i = 0; i < teams; ++i) {
        const auto changed = i == teams / 2 ? rate : 100;
        text += "team team-" + std::to_string(i) +
                " regions=r0,r1 rate=" + std::to_string(changed) +
                "/s burst=4000 # lena: contract " + std::to_string(i) + "\n";
    }
    return text;
}

/// A fleet of 9 VMs (the current fleet), 50, or 400 (the projected fleet).
struct shape {
    std::size_t vms;
    std::size_t data_centers;
    std::size_t regions;
};

shape shape_of(std::int64_t vms)
{
    if (vms <= 9) {
        return {9, 3, 3};
    }
    return vms <= 50 ? shape{50, 5, 5} : shape{400, 22, 7};
}

class fleet {
public:
    explicit fleet(const shape& fleet_shape)
    {
        add_config(m_sim);
        publish(m_sim, base::config_version{1}, rules_of(fleet_teams, 100));
        for (std::size_t i = 0; i < fleet_shape.vms; ++i) {
            const auto center = i % fleet_shape.data_centers;
            const auto region = "r" + std::to_string(center % fleet_shape.regions);
            m_names.push_back("vm-" + std::to_string(i));
            m_sim.add_vm(m_names.back(), region, "dc" + std::to_string(center));
            list_vm(m_sim, m_names.back());
        }
        m_sim.run(settling_time);
    }

    world& sim() { return m_sim; }
    [[nodiscard]] const std::vector<std::string>& names() const { return m_names; }

    [[nodiscard]] std::uint64_t control_bytes(const std::string& name)
    {
        auto& machine = m_sim.find(name);
        const auto& membership_state = machine.state<membership_process>();
        const auto& config_state = machine.state<config_process>();
        return membership_state.sent_bytes + membership_state.received_bytes +
               config_state.sent_bytes + config_state.received_bytes;
    }

    [[nodiscard]] bool is_delegate(const std::string& name)
    {
        const auto& machine = m_sim.find(name);
        const auto snapshot = view_of(m_sim, name);
        const auto center = base::id_of<base::data_center_id>(machine.data_center);
        const auto delegates = membership::delegates_of(snapshot, center);
        return std::ranges::find(delegates, machine.id) != delegates.end();
    }

private:
    world m_sim;
    std::vector<std::string> m_names;
};

/// Virtual seconds from publishing a version until it is in force on all VMs.
void change_in_force(benchmark::State& state)
{
    const auto fleet_shape = shape_of(state.range(0));
    for (auto _ : state) {
        fleet vms(fleet_shape);
        auto& sim = vms.sim();
        const auto moved = publish(sim, base::config_version{2}, rules_of(fleet_teams, 200));
        const auto published_at = sim.now();
        const auto behind = [&](const auto& name) {
            return config_of(sim, name).version() < base::config_version{2};
        };
        std::int64_t rounds = 0;
        while (std::ranges::any_of(vms.names(), behind)) {
            sim.run(base::milliseconds{100});
            ++rounds;
        }
        state.counters["virtual_s"] = seconds(sim.now() - published_at);
        state.counters["rounds_of_100ms"] = static_cast<double>(rounds);
        state.counters["bytes_published"] = static_cast<double>(moved);
    }
}

/// Control bytes (sent plus received) and processor time of an idle fleet.
void control_traffic(benchmark::State& state)
{
    const auto fleet_shape = shape_of(state.range(0));
    for (auto _ : state) {
        fleet vms(fleet_shape);
        auto& sim = vms.sim();
        std::map<std::string, std::uint64_t> before;
        for (const auto& name : vms.names()) {
            before[name] = vms.control_bytes(name);
        }
        const auto calls_before = sim.state<config_service>().calls;
        const auto lists_before = sim.state<platform_lists>().calls;
        const auto started_at = std::chrono::steady_clock::now();
        sim.run(measured_time);
        const auto elapsed = std::chrono::steady_clock::now() - started_at;
        double delegate_max = 0;
        double other_vm_max = 0;
        for (const auto& name : vms.names()) {
            const auto bytes = static_cast<double>(vms.control_bytes(name) - before[name]);
            auto& highest = vms.is_delegate(name) ? delegate_max : other_vm_max;
            highest = std::max(highest, bytes / seconds(measured_time));
        }
        const auto vm_seconds = static_cast<double>(fleet_shape.vms) * seconds(measured_time);
        state.counters["delegate_bytes_per_s"] = delegate_max;
        state.counters["other_vm_bytes_per_s"] = other_vm_max;
        state.counters["config_calls_per_s"] =
            static_cast<double>(sim.state<config_service>().calls - calls_before) /
            seconds(measured_time);
        state.counters["list_calls_per_s"] =
            static_cast<double>(sim.state<platform_lists>().calls - lists_before) /
            seconds(measured_time);
        state.counters["core_percent_per_vm"] = 100 * seconds(elapsed) / vm_seconds;
    }
}

/// Virtual seconds until another VM sees a lost process as gone, which frees its share.
void time_to_gone(benchmark::State& state)
{
    enum { crash = 0, same_address = 1, other_address = 2 };
    constexpr base::milliseconds boot{20'000};
    constexpr base::milliseconds list_lag{10'000};
    for (auto _ : state) {
        fleet vms(shape_of(9));
        auto& sim = vms.sim();
        const auto lost = vms.names().front();
        const auto witness = vms.names().at(3);
        const auto id = sim.find(lost).id;
        const auto old_process = sim.find(lost).process;
        const auto lost_at = sim.now();
        if (state.range(0) == crash) {
            sim.stop(lost);
        }
        else {
            sim.pause(lost);
        }
        const auto is_free = [&] {
            const auto snapshot = view_of(sim, witness);
            const auto* member = membership::find(snapshot, id);
            return member == nullptr || member->process != old_process ||
                   member->state == membership::member_state::gone;
        };
        while (!is_free()) {
            const auto passed = sim.now() - lost_at;
            if (state.range(0) == same_address && passed == boot) {
                sim.restart(lost);
            }
            if (state.range(0) == other_address && passed == list_lag) {
                unlist_vm(sim, lost);
            }
            if (state.range(0) == other_address && passed == boot) {
                sim.add_vm("replacement", "r0", "dc0");
                list_vm(sim, "replacement");
            }
            sim.run(base::milliseconds{100});
        }
        state.counters["virtual_s"] = seconds(sim.now() - lost_at);
    }
}

/// Memory of one entry in the membership table, in bytes.
void table_memory(benchmark::State& state)
{
    const auto count = state.range(0);
    membership::platform_list list{.sequence = 1};
    for (std::int64_t i = 0; i < count; ++i) {
        const auto name = "vm-" + std::to_string(i);
        list.vms.push_back({.name = name,
                            .region = base::region_id{static_cast<std::uint64_t>(i % 7)},
                            .data_center = base::data_center_id{static_cast<std::uint64_t>(i % 22)},
                            .caller_address = "10.20.30.40:8081",
                            .peer_address = "10.20.30.40:9081"});
    }
    const membership::identity own_identity{.name = "vm-0",
                                            .region = base::region_id{0},
                                            .data_center = base::data_center_id{0},
                                            .caller_address = "10.20.30.40:8081",
                                            .peer_address = "10.20.30.40:9081",
                                            .process = base::incarnation{1}};
    const base::time_point now{std::chrono::hours{1}};
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        membership::table table(own_identity, {}, now);
        benchmark::DoNotOptimize(table.on_list(list, now, now));
        state.counters["bytes_per_vm"] =
            static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(count);
        benchmark::DoNotOptimize(table.current(now));
    }
}

/// The snapshot that the daemon publishes after each tick.
void view_snapshot(benchmark::State& state)
{
    fleet vms(shape_of(state.range(0)));
    const auto& table = membership_of(vms.sim(), vms.names().front());
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.current(vms.sim().now()));
    }
}

void heartbeat_codec(benchmark::State& state)
{
    membership::heartbeat beat{.sequence = 12'345, .ack_sequence = 12'344};
    beat.from = {base::vm_id{1}, base::incarnation{2}, 3};
    beat.load = {.running = 4, .waiting = 5};
    std::size_t size = 0;
    for (auto _ : state) {
        const auto bytes = membership::encode(beat);
        size = bytes.size();
        benchmark::DoNotOptimize(membership::decode(bytes));
    }
    state.counters["bytes"] = static_cast<double>(size);
}

/// One changed team among 27,000: bytes that a VM fetches and time to apply the change.
void large_change(benchmark::State& state)
{
    const auto older_text = rules_of(large_teams, 100);
    const auto newer_text = rules_of(large_teams, 200);
    const auto older = rules::parse_rules(older_text, {.version = base::config_version{1}});
    const auto older_parts = rules::split_rules(older_text);
    const auto newer_parts = rules::split_rules(newer_text);
    const auto manifest = rules::make_manifest(base::config_version{2}, "salt1234", newer_parts);
    double moved = static_cast<double>(rules::print_manifest(manifest).size());
    for (const auto& part : newer_parts) {
        const bool known = std::ranges::find(older_parts, part) != older_parts.end();
        moved += known ? 0 : static_cast<double>(part.size());
    }
    for (auto _ : state) {
        const auto before = mallinfo2().uordblks;
        const auto newer = rules::parse_parts(newer_parts, {.version = base::config_version{2}});
        state.counters["rulebook_bytes_per_team"] =
            static_cast<double>(mallinfo2().uordblks - before) / large_teams;
        benchmark::DoNotOptimize(rules::diff_rules(*older.book, *newer.book));
    }
    state.counters["bytes_moved"] = moved;
    state.counters["text_bytes"] = static_cast<double>(newer_text.size());
    state.counters["parts"] = static_cast<double>(newer_parts.size());
}

BENCHMARK(change_in_force)->Arg(9)->Arg(50)->Arg(400)->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(control_traffic)->Arg(9)->Arg(50)->Arg(400)->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(time_to_gone)->Arg(0)->Arg(1)->Arg(2)->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(table_memory)->Arg(9)->Arg(50)->Arg(400);
BENCHMARK(view_snapshot)->Arg(9)->Arg(50)->Arg(400);
BENCHMARK(heartbeat_codec);
BENCHMARK(large_change)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace chicorylink::scenario

BENCHMARK_MAIN();
