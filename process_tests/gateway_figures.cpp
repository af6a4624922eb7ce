#include "chicorylink/platform/http_client.hpp"
#include "suite.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

// Measures one daemon in front of a stand-in engine: the latency that it adds to a request, and the
// number of concurrent streams with their memory. Prints one JSON line per figure.

namespace chicorylink::process_tests {
namespace {

constexpr int warm_up_requests = 50;
constexpr int measured_requests = 1'000;
constexpr int stream_count = 400;
constexpr int stream_tokens = 60;
constexpr int measured_bookings = 300;
constexpr int booking_callers = 16;
constexpr int resumed_streams = 40;
constexpr int close_after_tokens = 20;

using clock = std::chrono::steady_clock;

double milliseconds_of(const call& measured_call, connection& client)
{
    const auto begin = clock::now();
    const auto response = client.perform(measured_call);
    const std::chrono::duration<double, std::milli> time = clock::now() - begin;
    if (response.status != 200) {
        throw std::runtime_error("a measured request failed: " + response.body);
    }
    return time.count();
}

double quantile(std::vector<double> values, double probability)
{
    std::sort(values.begin(), values.end());
    const auto index =
        static_cast<std::size_t>(probability * static_cast<double>(values.size() - 1));
    return values.at(index);
}

/// The resident memory of a process in bytes.
std::int64_t resident_bytes(pid_t id)
{
    constexpr std::int64_t page_bytes = 4096;
    std::ifstream file(fmt::format("/proc/{}/statm", id));
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * page_bytes;
}

std::unique_ptr<fleet> start()
{
    auto test_fleet = std::make_unique<fleet>(binaries(), log_folder("figures"));
    const auto engine = test_fleet->start_target(
        "engine", "stand_in_engine",
        {"--slots", "500", "--token-delay-ms", "20", "--queue-limit", "1000"});
    const auto service = test_fleet->start_target("booking", "stand_in_service");
    const auto version = test_fleet->publish(
        fmt::format("region north # measurement\n"
                    "team both regions=north rate=100000000/s burst=100000000 # measurement\n"
                    "key both {} # measurement\n"
                    "route chat kind=model deadline=30s # measurement\n"
                    "route bookings kind=service idempotent=no deadline=10s # measurement\n"
                    "target engine region=north address={} routes=chat slots=500 # measurement\n"
                    "target booking region=north address={} routes=bookings slots=64 "
                    "# measurement\n",
                    digest_of(both_key), engine, service));
    test_fleet->start_vm("vm-1", "north");
    if (!test_fleet->wait_ready(version)) {
        throw std::runtime_error("the daemon did not become ready");
    }
    static_cast<void>(perform_when_admitted(
        chat_call(test_fleet->at("vm-1").url(chat_path), both_key, "chat", "ready?")));
    return test_fleet;
}

/// Sends one-token requests alternately straight to the engine and through the daemon.
void measure_overhead(fleet& test_fleet)
{
    const auto direct = chat_call("http://" + test_fleet.target_address("engine") + chat_path, "",
                                  "chat", "short question", false, 1);
    const auto through = chat_call(test_fleet.at("vm-1").url(chat_path), both_key, "chat",
                                   "short question", false, 1);
    connection to_engine;
    connection to_daemon;
    std::vector<double> direct_times;
    std::vector<double> through_times;
    for (int i = 0; i < warm_up_requests + measured_requests; ++i) {
        const auto straight = milliseconds_of(direct, to_engine);
        const auto relayed = milliseconds_of(through, to_daemon);
        if (i >= warm_up_requests) {
            direct_times.push_back(straight);
            through_times.push_back(relayed);
        }
    }
    for (const double probability : {0.5, 0.99}) {
        const auto straight = quantile(direct_times, probability);
        const auto relayed = quantile(through_times, probability);
        fmt::print("{{\"figure\": \"request_time_p{:.0f}\", \"direct_ms\": {:.3f}, "
                   "\"through_daemon_ms\": {:.3f}, \"ratio\": {:.3f}, \"added_ms\": {:.3f}}}\n",
                   probability * 100, straight, relayed, relayed / straight, relayed - straight);
    }
}

/// Opens many concurrent streams through the daemon.
void measure_streams(fleet& test_fleet)
{
    const auto chat_request = chat_call(test_fleet.at("vm-1").url(chat_path), both_key, "chat",
                                        "long story", true, stream_tokens);
    const auto id = test_fleet.at("vm-1").process.id();
    const auto before = resident_bytes(id);
    std::atomic<int> started{0};
    std::atomic<int> ended{0};
    std::atomic<int> complete_count{0};
    std::int64_t during = 0;
    {
        platform::http_client callers;
        for (int i = 0; i < stream_count; ++i) {
            platform::http_request request{.method = "POST", .url = chat_request.url};
            request.headers = {{"Content-Type", "application/json"},
                               {"Authorization", std::string("Bearer ") + both_key}};
            request.body = chat_request.body;
            request.timeout = base::milliseconds{60'000};
            platform::http_handlers handlers;
            handlers.on_head = [&](int status, const platform::header_list&) {
                started += status == 200 ? 1 : 0;
            };
            auto done = std::make_shared<bool>(false);
            handlers.on_data = [done](std::string_view piece) {
                *done = *done || piece.find("[DONE]") != std::string_view::npos;
                return true;
            };
            handlers.on_end = [&, done](const platform::http_end& end) {
                complete_count += end.kind == platform::http_end_kind::complete && *done ? 1 : 0;
                ++ended;
            };
            callers.start(std::move(request), std::move(handlers));
        }
        const bool all_started = wait_until([&] { return started + ended >= stream_count; });
        during = all_started ? resident_bytes(id) : 0;
        static_cast<void>(wait_until([&] { return ended == stream_count; }));
    }
    fmt::print("{{\"figure\": \"streams_at_once\", \"streams\": {}, \"whole\": {}, "
               "\"resident_before\": {}, \"resident_during\": {}, \"bytes_per_stream\": {}}}\n",
               started.load(), complete_count.load(), before, during,
               (during - before) / stream_count);
}

/// Sends bookings alternately without and with a ticket on one persistent connection.
void measure_tickets(fleet& test_fleet)
{
    const auto& daemon = test_fleet.at("vm-1");
    const call issue{.method = "POST",
                     .url = daemon.url("/v1/tickets?route=bookings"),
                     .headers = {std::string("Authorization: Bearer ") + both_key}};
    connection client;
    std::vector<double> plain;
    std::vector<double> ticketed;
    for (int i = 0; i < measured_bookings; ++i) {
        const auto body = fmt::format("{{\"plain\": {}}}", i);
        plain.push_back(milliseconds_of(booking_call(daemon, both_key, "", body), client));
        const auto begin = clock::now();
        const auto ticket = client.perform(issue).json().value("ticket", "");
        const auto ticketed_body = fmt::format("{{\"ticketed\": {}}}", i);
        milliseconds_of(booking_call(daemon, both_key, ticket, ticketed_body), client);
        const std::chrono::duration<double, std::milli> time = clock::now() - begin;
        ticketed.push_back(time.count());
    }
    const auto without = quantile(plain, 0.5);
    const auto with = quantile(ticketed, 0.5);
    fmt::print("{{\"figure\": \"booking_time_p50\", \"without_ticket_ms\": {:.3f}, "
               "\"with_ticket_ms\": {:.3f}, \"added_ms\": {:.3f}}}\n",
               without, with, with - without);
}

/// Sends bookings with tickets from several concurrent callers.
void measure_booking_rate(fleet& test_fleet)
{
    const auto& daemon = test_fleet.at("vm-1");
    std::atomic<int> answered{0};
    const auto begin = clock::now();
    std::vector<std::thread> callers;
    callers.reserve(booking_callers);
    for (int caller = 0; caller < booking_callers; ++caller) {
        callers.emplace_back([&, caller] {
            connection client;
            const call issue{.method = "POST",
                             .url = daemon.url("/v1/tickets?route=bookings"),
                             .headers = {std::string("Authorization: Bearer ") + both_key}};
            for (int i = 0; i < measured_bookings; ++i) {
                const auto ticket = client.perform(issue).json().value("ticket", "");
                const auto body = fmt::format("{{\"caller\": {}, \"i\": {}}}", caller, i);
                const auto response = client.perform(booking_call(daemon, both_key, ticket, body));
                answered += response.status == 200 ? 1 : 0;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    const std::chrono::duration<double> time = clock::now() - begin;
    fmt::print("{{\"figure\": \"booking_rate\", \"bookings\": {}, \"of\": {}, "
               "\"bookings_per_second\": {:.0f}}}\n",
               answered.load(), booking_callers * measured_bookings, answered / time.count());
}

/// Runs streams one after the other and closes the engine connection midway through each.
void measure_resume(fleet& test_fleet)
{
    int complete_count = 0;
    std::size_t tokens = 0;
    for (int i = 0; i < resumed_streams; ++i) {
        test_fleet.control_target("engine", "faults",
                                  {{"close_after", close_after_tokens}, {"count", 1}});
        const auto response = perform(chat_call(test_fleet.at("vm-1").url(chat_path), both_key,
                                                "chat", "resumed", true, stream_tokens));
        complete_count +=
            response.complete && response.body.find("[DONE]") != std::string::npos ? 1 : 0;
        for (auto position = response.body.find("\"content\":\""); position != std::string::npos;
             position = response.body.find("\"content\":\"", position + 1)) {
            ++tokens;
        }
    }
    fmt::print("{{\"figure\": \"streams_resumed\", \"cut\": {}, \"whole\": {}, "
               "\"tokens_passed\": {}, \"tokens_asked\": {}}}\n",
               resumed_streams, complete_count, tokens, resumed_streams * stream_tokens);
}

} // namespace
} // namespace chicorylink::process_tests

int main()
{
    try {
        const auto test_fleet = chicorylink::process_tests::start();
        chicorylink::process_tests::measure_overhead(*test_fleet);
        chicorylink::process_tests::measure_streams(*test_fleet);
        chicorylink::process_tests::measure_tickets(*test_fleet);
        chicorylink::process_tests::measure_booking_rate(*test_fleet);
        chicorylink::process_tests::measure_resume(*test_fleet);
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 1;
    }
    return 0;
}
