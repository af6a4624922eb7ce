// Measures the CPU time of chicorylink-front per call and per stream event against a relay that
// only copies bytes, with the same callers, calls and target. Prints one JSON line per figure.

#include "fleet.hpp"
#include "front_fleet.hpp"
#include "raw_exchange.hpp"
#include "stand_ins/http_server.hpp"
#include "suite.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* front_ip = "127.0.1.1";
constexpr const char* relay_address = "127.0.1.9:21821";

/// Concurrent callers; each makes its calls one after the other, each on a new connection.
constexpr int callers = 8;
constexpr milliseconds event_pause{1};

struct load {
    int events = 0;
    int calls_per_caller = 0;
};
constexpr std::array<load, 3> loads{{{4, 100}, {64, 50}, {256, 25}}};

/// The mean cost of a call under one load.
struct sample {
    double events = 0;
    double us_per_call = 0;
};

/// Target handler whose response to `/stream/N` has N events.
stand_ins::http_response stream_events(const stand_ins::http_request& request)
{
    const auto event_count = std::stoi(request.path.substr(request.path.rfind('/') + 1));
    auto next = std::make_shared<int>(1);
    stand_ins::http_response response;
    response.headers = {
        {"X-Chicorylink-Request-Id", std::string{request.header("X-Chicorylink-Request-Id")}},
        {"X-Chicorylink-Server-Stamp", "figures"}};
    response.content_type = "text/event-stream";
    response.next_chunk = [next, event_count]() -> std::optional<std::string> {
        if (*next > event_count) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(event_pause);
        const int number = (*next)++;
        return fmt::format("id: {}\ndata: {{\"tokens\":6,\"text\":\"answer of a model\"}}\n\n",
                           number);
    };
    return response;
}

/// CPU time used by all threads of a process, in microseconds.
double cpu_time_us(pid_t id)
{
    constexpr double ns_per_us = 1000;
    double total = 0;
    for (const auto& thread :
         std::filesystem::directory_iterator(fmt::format("/proc/{}/task", id))) {
        std::ifstream file(thread.path() / "schedstat");
        double ns = 0;
        file >> ns;
        total += ns / ns_per_us;
    }
    return total;
}

void call_once(const std::string& address, const std::string& id, int events)
{
    const auto result = exchange_raw(
        address,
        fmt::format("POST /stream/{} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                    "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n"
                    "Content-Length: 5\r\nConnection: close\r\n\r\norder",
                    events, id),
        seconds{10});
    if (result.status() != 200 ||
        result.bytes.find(fmt::format("id: {}\n", events)) == std::string::npos) {
        throw std::runtime_error("a measured call failed: " + result.bytes.substr(0, 200));
    }
}

sample measure(pid_t process, const std::string& address, const load& current_load)
{
    std::atomic<bool> failed{false};
    const double before = cpu_time_us(process);
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            try {
                for (int turn = 0; turn < current_load.calls_per_caller; ++turn) {
                    call_once(address, fmt::format("{}-{}-{}", current_load.events, caller, turn),
                              current_load.events);
                }
            }
            catch (const std::exception& failure) {
                std::cerr << failure.what() << "\n";
                failed = true;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    if (failed) {
        throw std::runtime_error("some measured calls did not complete");
    }
    return {static_cast<double>(current_load.events),
            (cpu_time_us(process) - before) / (callers * current_load.calls_per_caller)};
}

/// The cost per call and per event, fitted by least squares.
struct costs {
    double call_us = 0;
    double event_us = 0;
};

costs fit(const std::vector<sample>& samples)
{
    double n = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto& measured : samples) {
        n += 1;
        x += measured.events;
        y += measured.us_per_call;
        xx += measured.events * measured.events;
        xy += measured.events * measured.us_per_call;
    }
    const double slope = (n * xy - x * y) / (n * xx - x * x);
    return {(y - slope * x) / n, slope};
}

costs measure_all(const std::string& name, pid_t process, const std::string& address)
{
    static_cast<void>(measure(process, address, loads.front()));
    std::vector<sample> samples;
    samples.reserve(loads.size());
    for (const auto& current_load : loads) {
        samples.push_back(measure(process, address, current_load));
    }
    const auto fitted = fit(samples);
    fmt::print("{{\"figure\": \"relay_cost\", \"program\": \"{}\", \"call_us\": {:.0f}, "
               "\"event_us\": {:.1f}, \"us_per_call_of\": {{\"4\": {:.0f}, \"64\": {:.0f}, "
               "\"256\": {:.0f}}}}}\n",
               name, fitted.call_us, fitted.event_us, samples[0].us_per_call,
               samples[1].us_per_call, samples[2].us_per_call);
    return fitted;
}

void run()
{
    stand_ins::http_server target("127.0.0.1:0", {stream_events, {}});
    front_fleet fleet(binaries(), "chicorylink_relay_figures");
    fleet.publish_config(1, {"secret"});
    fleet.publish_target("i-figures", target.address(), "east-a");
    fleet.start(front_ip, "east");
    if (!wait_until([] { return front_fleet::is_ready(front_ip); }, seconds{10})) {
        throw std::runtime_error("the daemon did not become ready");
    }
    const child_process relay(
        {binaries() + "/process_tests/bare_relay", relay_address, target.address()},
        (fleet.folder() / "relay.log").string());
    const auto bare = measure_all("bare_relay", relay.id(), relay_address);
    const auto ours = measure_all("chicorylink-front", fleet.at(front_ip).id(),
                                  fmt::format("{}:{}", front_ip, front_fleet::callers_port));
    fmt::print("{{\"figure\": \"relay_ratio\", \"call\": {:.2f}, \"event\": {:.2f}}}\n",
               ours.call_us / bare.call_us, ours.event_us / bare.event_us);
}

} // namespace
} // namespace chicorylink::process_tests

int main()
{
    try {
        chicorylink::process_tests::run();
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
