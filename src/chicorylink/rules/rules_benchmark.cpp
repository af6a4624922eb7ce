#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <malloc.h>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr int region_count = 7;
constexpr int route_count = 8;
constexpr int target_count = 600;
constexpr int keys_per_team = 2;
constexpr int full_team_count = 27'000;

std::string team_line(int index, int rate)
{
    const int first = index % region_count;
    return fmt::format("team customer-{} regions=region-{},region-{},region-{}{} rate={}/s "
                       "burst={} # sales-{}: contract {}\n",
                       index, first, (first + 1) % region_count, (first + 2) % region_count,
                       index % 4 == 0 ? fmt::format(" home=region-{}", first) : "", rate, rate * 20,
                       index % 40, 100'000 + index);
}

/// Generates a rules text with the given number of teams and their keys, and the regions, routes
/// and targets of the whole fleet.
std::string make_text(int teams, int changed_team = -1)
{
    std::string text;
    auto out = std::back_inserter(text);
    for (int i = 0; i < region_count; ++i) {
        fmt::format_to(out, "region region-{} # operations: market {}\n", i, i);
    }
    for (int i = 0; i < route_count; ++i) {
        fmt::format_to(out, "route model-{} kind=model # operations: catalogue\n", i);
    }
    for (int i = 0; i < target_count; ++i) {
        fmt::format_to(out,
                       "target engine-{} region=region-{} address=10.1.{}.{}:8000 routes=model-{} "
                       "slots=16 # operations: rack {}\n",
                       i, i % region_count, i / 250, i % 250 + 1, i % route_count, i / 16);
    }
    for (int i = 0; i < teams; ++i) {
        text += team_line(i, i == changed_team ? 12'345 : 1000 + i % 4000);
        for (int k = 0; k < keys_per_team; ++k) {
            const auto digest = base::sha256("salt", fmt::format("{}-{}", i, k));
            fmt::format_to(out, "key customer-{} sha256:{} # sales-{}: contract {}\n", i,
                           base::to_hex(digest), i % 40, 100'000 + i);
        }
    }
    return text;
}

/// Removes one team and its keys, whose lines are adjacent, from a text.
std::string without_team(const std::string& text, int index)
{
    const auto start = text.find(fmt::format("team customer-{} ", index));
    const auto end = text.find(fmt::format("team customer-{} ", index + 1));
    return text.substr(0, start) + text.substr(end);
}

/// Returns the number of heap bytes in use.
double heap_bytes()
{
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

void parse_text(benchmark::State& state)
{
    const auto teams = static_cast<int>(state.range(0));
    const auto text = make_text(teams);
    double book_bytes = 0;
    for (auto _ : state) {
        const auto before = heap_bytes();
        auto outcome = parse_rules(text, {.version = base::config_version{1}});
        if (!outcome.errors.empty()) {
            state.SkipWithError(to_string(outcome.errors.front()).c_str());
            return;
        }
        book_bytes = heap_bytes() - before;
        benchmark::DoNotOptimize(outcome);
    }
    state.counters["text_bytes_per_team"] = static_cast<double>(text.size()) / teams;
    state.counters["book_bytes_per_team"] = book_bytes / teams;
    state.counters["ns_per_team"] = benchmark::Counter(
        static_cast<double>(teams) * 1e-9,
        benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(parse_text)->Arg(1000)->Arg(full_team_count)->Unit(benchmark::kMillisecond);

void diff_one_change(benchmark::State& state)
{
    const auto older = parse_rules(make_text(full_team_count), {}).book;
    const auto newer = parse_rules(make_text(full_team_count, full_team_count / 2), {}).book;
    for (auto _ : state) {
        benchmark::DoNotOptimize(diff_rules(*older, *newer));
    }
}
BENCHMARK(diff_one_change)->Unit(benchmark::kMillisecond);

/// The alternative way to split: a fixed number of parts, with each line assigned by its hash.
std::vector<std::string> split_by_hash(const std::string& text, std::size_t count)
{
    std::vector<std::string> parts(count);
    for (std::size_t start = 0; start < text.size();) {
        const auto end = text.find('\n', start) + 1;
        const auto line = text.substr(start, end - start);
        const auto identity = line.substr(0, line.find_first_of("=#"));
        parts[base::hash_name(identity) % count] += line;
        start = end;
    }
    return parts;
}

using splitter = std::vector<std::string> (*)(const std::string&, std::int64_t);

std::vector<std::string> split_in_runs(const std::string& text, std::int64_t size)
{
    return split_rules(text, {base::bytes{size / 2}, base::bytes{size / 2}, base::bytes{size * 3}});
}

std::vector<std::string> split_by_count(const std::string& text, std::int64_t count)
{
    return split_by_hash(text, static_cast<std::size_t>(count));
}

/// Returns the size in bytes of the new manifest and of the parts that are not among the old ones.
std::size_t bytes_moved(const std::vector<std::string>& older,
                        const std::vector<std::string>& newer)
{
    const auto known = make_manifest(base::config_version{1}, "salt", older).parts;
    const auto manifest = make_manifest(base::config_version{2}, "salt", newer);
    std::size_t moved = print_manifest(manifest).size();
    for (std::size_t i = 0; i < newer.size(); ++i) {
        if (std::find(known.begin(), known.end(), manifest.parts[i]) == known.end()) {
            moved += newer[i].size();
        }
    }
    return moved;
}

void split_text(benchmark::State& state, splitter split)
{
    constexpr int change_count = 40;
    const auto text = make_text(full_team_count);
    const auto parts = split(text, state.range(0));
    std::size_t moved = 0;
    std::size_t moved_at_most = 0;
    for (int i = 0; i < change_count; ++i) {
        const int team = i * (full_team_count / change_count) + 7;
        const auto changed =
            i % 2 == 0 ? make_text(full_team_count, team) : without_team(text, team);
        const auto now = bytes_moved(parts, split(changed, state.range(0)));
        moved += now;
        moved_at_most = std::max(moved_at_most, now);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(split(text, state.range(0)));
    }
    std::size_t largest = 0;
    for (const auto& part : parts) {
        largest = std::max(largest, part.size());
    }
    state.counters["parts"] = static_cast<double>(parts.size());
    state.counters["largest_part"] = static_cast<double>(largest);
    state.counters["manifest_bytes"] = static_cast<double>(
        print_manifest(make_manifest(base::config_version{1}, "salt", parts)).size());
    state.counters["moved_per_change"] = static_cast<double>(moved) / change_count;
    state.counters["moved_at_most"] = static_cast<double>(moved_at_most);
}
BENCHMARK_CAPTURE(split_text, by_hash, &split_by_count)
    ->Arg(64)
    ->Arg(128)
    ->Arg(256)
    ->Arg(512)
    ->Arg(1024)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(split_text, in_runs, &split_in_runs)
    ->Arg(12'000)
    ->Arg(24'000)
    ->Arg(48'000)
    ->Arg(96'000)
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace chicorylink::rules

BENCHMARK_MAIN();
