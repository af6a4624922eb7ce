#include "chicorylink/dispatch/ticket_table.hpp"

#include <malloc.h>

#include <benchmark/benchmark.h>

namespace chicorylink::dispatch {
namespace {

constexpr base::time_point start{};
constexpr attempt_id holder{base::incarnation{5}, 1};
const base::digest request{};
const ticket_keys keys{.current = "0123456789abcdef", .previous = "fedcba9876543210"};

ticket_settings large_settings()
{
    return {.self = base::vm_id{3},
            .process = base::incarnation{4},
            .epoch = start,
            .capacity = 100'000'000};
}

void check_ticket_text(benchmark::State& state)
{
    ticket_table table{large_settings()};
    const auto text =
        to_text(table.issue(base::team_id{1}, base::route_id{1}, start).value(), keys);
    for (auto unused : state) {
        benchmark::DoNotOptimize(ticket_from_text(text, keys).value());
    }
}
BENCHMARK(check_ticket_text);

void issue_ticket_with_text(benchmark::State& state)
{
    ticket_table table{large_settings()};
    for (auto unused : state) {
        benchmark::DoNotOptimize(
            to_text(table.issue(base::team_id{1}, base::route_id{1}, start).value(), keys));
    }
}
BENCHMARK(issue_ticket_with_text);

void issue_begin_and_end(benchmark::State& state)
{
    ticket_table table{large_settings()};
    for (auto unused : state) {
        const auto issued = table.issue(base::team_id{1}, base::route_id{1}, start).value();
        benchmark::DoNotOptimize(table.begin(issued, request, holder, start));
        table.end(issued, holder, outcome::ran, stored_response{.status = 200, .body = "{}"});
    }
}
BENCHMARK(issue_begin_and_end)->Iterations(200'000);

/// Heap bytes per kept ticket when each response has a body of the given size.
void memory_of_remembered_tickets(benchmark::State& state)
{
    constexpr std::size_t tickets = 20'000;
    double bytes = 0;
    for (auto unused : state) {
        const auto before = ::mallinfo2().uordblks;
        ticket_table table{large_settings()};
        for (std::size_t i = 0; i < tickets; ++i) {
            const auto issued = table.issue(base::team_id{1}, base::route_id{1}, start).value();
            benchmark::DoNotOptimize(table.begin(issued, request, holder, start));
            table.end(issued, holder, outcome::ran,
                      stored_response{
                          .status = 200,
                          .content_type = "application/json",
                          .body = std::string(static_cast<std::size_t>(state.range(0)), 'x')});
        }
        bytes = static_cast<double>(::mallinfo2().uordblks - before) / tickets;
    }
    state.counters["bytes_per_ticket"] = bytes;
}
BENCHMARK(memory_of_remembered_tickets)->Arg(0)->Arg(200)->Iterations(1);

} // namespace
} // namespace chicorylink::dispatch

BENCHMARK_MAIN();
