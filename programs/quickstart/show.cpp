#include "show.hpp"

#include "fleet.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include <fmt/format.h>

namespace chicorylink::quickstart {
namespace {

using process_tests::call;
using process_tests::chat_call;
using process_tests::connection;
using process_tests::digest_of;
using process_tests::fleet;
using process_tests::perform;
using process_tests::perform_when_admitted;
using process_tests::reply;
using process_tests::wait_until;

constexpr const char* chat_path = "/v1/chat/completions";
constexpr const char* everywhere_key = "key-of-everywhere";
constexpr const char* south_key = "key-of-south";
constexpr const char* passing_key = "key-to-withdraw";
constexpr int long_answer_tokens = 200;

/// Prints one line per step and records whether all passed.
class report {
public:
    void print_step(bool passed, const std::string& check, const std::string& observed)
    {
        m_passed = m_passed && passed;
        std::cout << (passed ? "ok    " : "WRONG ") << check << ": " << observed << std::endl;
    }

    [[nodiscard]] bool passed() const { return m_passed; }

private:
    bool m_passed = true;
};

/// The rules of the demonstration, with or without the key to be withdrawn.
std::string rules_text(const fleet& demo_fleet, bool with_passing_key, int south_rate)
{
    std::string text;
    for (const char* region : {"north", "south", "west"}) {
        text += fmt::format("region {} # operators: first regions\n", region);
    }
    text += "link north south delay=55ms rate=140Mbit # network team: contract\n"
            "link north west delay=55ms rate=140Mbit # network team: contract\n"
            "link south west delay=55ms rate=140Mbit # network team: contract\n"
            "team everywhere regions=north,south,west rate=20000/s burst=200000 # sales: all\n"
            "team passing regions=north rate=2000/s burst=20000 # sales: trial\n";
    text += fmt::format("team south-only regions=south rate={}/s burst=20000 # legal: data stays\n",
                        south_rate);
    text += fmt::format("key everywhere {} # sales: all\n", digest_of(everywhere_key));
    text += fmt::format("key south-only {} # legal: data stays\n", digest_of(south_key));
    if (with_passing_key) {
        text += fmt::format("key passing {} # sales: trial\n", digest_of(passing_key));
    }
    text += "route chat kind=model deadline=20s # product: assistant\n"
            "route bookings kind=service idempotent=no deadline=10s # product: bookings\n";
    for (const char* region : {"north", "south", "west"}) {
        text += fmt::format("target engine-{0} region={0} address={1} routes=chat slots=8 "
                            "# platform: engines\n",
                            region, demo_fleet.target_address(fmt::format("engine-{}", region)));
    }
    text += fmt::format("target booking region=north address={} routes=bookings slots=16 "
                        "# platform: services\n",
                        demo_fleet.target_address("booking"));
    return text;
}

void start(fleet& demo_fleet)
{
    for (const char* region : {"north", "south", "west"}) {
        demo_fleet.start_target(fmt::format("engine-{}", region), "stand_in_engine",
                                {"--token-delay-ms", "10"});
    }
    demo_fleet.start_target("booking", "stand_in_service");
    const auto version = demo_fleet.publish(rules_text(demo_fleet, true, 2'000));
    demo_fleet.start_vm("vm-north-1", "north");
    demo_fleet.start_vm("vm-north-2", "north");
    demo_fleet.start_vm("vm-south-1", "south");
    demo_fleet.start_vm("vm-west-1", "west");
    if (!demo_fleet.wait_ready(version)) {
        throw std::runtime_error("the daemons did not become ready; see their logs");
    }
}

void show_directory(fleet& demo_fleet, report& results)
{
    const auto response =
        perform({.url = demo_fleet.at("vm-west-1").url("/v1/vms"),
                 .headers = {fmt::format("Authorization: Bearer {}", south_key)}});
    const auto list = response.json();
    const bool passed = response.status == 200 && list.contains("vms") && list["vms"].size() == 1;
    results.print_step(passed, "VM list for a team that may only use south", response.body);
}

void show_stream(fleet& demo_fleet, report& results)
{
    const auto response = perform_when_admitted(chat_call(
        demo_fleet.at("vm-north-1").url(chat_path), everywhere_key, "chat", "Hello", true));
    const bool passed = response.status == 200 && response.complete &&
                        response.body.find("[DONE]") != std::string::npos;
    results.print_step(passed, "streamed chat answer in the home region",
                       fmt::format("status {}, {} bytes, whole: {}", response.status,
                                   response.body.size(), response.complete));
}

void show_other_region(fleet& demo_fleet, report& results)
{
    const auto requests_elsewhere = [&] {
        return demo_fleet.counter("engine-south", "requests") +
               demo_fleet.counter("engine-west", "requests");
    };
    const auto before = requests_elsewhere();
    demo_fleet.target("engine-north").kill();
    const auto response = perform_when_admitted(chat_call(
        demo_fleet.at("vm-north-1").url(chat_path), everywhere_key, "chat", "Hello again"));
    const bool passed = response.status == 200 && requests_elsewhere() > before;
    results.print_step(passed,
                       "chat answered in another allowed region after the home engine is gone",
                       fmt::format("status {}, requests elsewhere: {}", response.status,
                                   requests_elsewhere() - before));
}

void show_booking(fleet& demo_fleet, report& results)
{
    const std::string key = fmt::format("Authorization: Bearer {}", everywhere_key);
    const auto ticket =
        perform({.method = "POST",
                 .url = demo_fleet.at("vm-south-1").url("/v1/tickets?route=bookings"),
                 .headers = {key}});
    const auto issued = ticket.json();
    const std::string header =
        "X-Chicorylink-Ticket: " + (issued.is_object() ? issued.value("ticket", "") : "");
    const call booking{.method = "POST",
                       .url = demo_fleet.at("vm-south-1").url("/bookings/appointments"),
                       .headers = {key, header, "Content-Type: application/json"},
                       .body = R"({"client": 7, "at": "10:30"})"};
    const auto first = perform_when_admitted(booking);
    auto repeated = booking;
    repeated.url = demo_fleet.at("vm-north-2").url("/bookings/appointments");
    const auto second = perform_when_admitted(repeated);
    const auto runs = demo_fleet.counter("booking", "runs");
    const bool passed =
        first.status == 200 && second.status == 200 && first.body == second.body && runs == 1;
    results.print_step(passed, "booking repeated through another VM",
                       fmt::format("statuses {} and {}, runs: {}, outcome: {}", first.status,
                                   second.status, runs, second.header("x-chicorylink-outcome")));
}

void show_region_refusal(fleet& demo_fleet, report& results)
{
    const auto response = perform(
        {.method = "POST",
         .url = demo_fleet.at("vm-north-1").url(chat_path),
         .headers = {fmt::format("Authorization: Bearer {}", south_key), "Content-Length: 5000000"},
         .timeout_ms = 5'000});
    const bool passed = response.refusal() == "region_not_allowed" &&
                        response.header("x-chicorylink-outcome") == "not-run";
    results.print_step(passed, "team that may not use this region, refused before its body is sent",
                       fmt::format("{} {}", response.status, response.refusal()));
}

void show_withdrawn_key(fleet& demo_fleet, report& results)
{
    connection client;
    auto request = chat_call(demo_fleet.at("vm-north-1").url("/v1/vms"), passing_key, "chat", "x");
    request.method = "GET";
    request.body.clear();
    const auto before = client.perform(request);
    demo_fleet.publish(rules_text(demo_fleet, false, 2'000));
    reply after;
    const bool refused = wait_until([&] {
        after = client.perform(request);
        return after.refusal() == "unknown_key";
    });
    results.print_step(before.status == 200 && refused && client.opened() == 1,
                       "withdrawn key on a connection that is still open",
                       fmt::format("{} then {} {}, connections opened: {}", before.status,
                                   after.status, after.refusal(), client.opened()));
}

void show_rules_change(fleet& demo_fleet, report& results)
{
    const auto version = demo_fleet.publish(rules_text(demo_fleet, false, 3'000));
    const bool in_force = demo_fleet.wait_ready(version);
    std::size_t audited = 0;
    std::string audit_line;
    for (auto& [name, daemon] : demo_fleet.vms()) {
        const auto audit = perform({.url = daemon.operators_url("/v1/audit")});
        const auto rows = audit.json();
        for (const auto& row : rows.value("rows", nlohmann::json::array())) {
            if (row.dump().find("legal: data stays") != std::string::npos) {
                ++audited;
                audit_line = row.dump();
                break;
            }
        }
    }
    results.print_step(in_force && audited == demo_fleet.vms().size(),
                       fmt::format("rules version {} in force on {} daemons with its audit line",
                                   version, demo_fleet.vms().size()),
                       audit_line);
}

void show_graceful_stop(fleet& demo_fleet, report& results)
{
    auto& leaving = demo_fleet.at("vm-south-1");
    std::atomic<bool> has_begun{false};
    reply streamed;
    std::thread caller([&] {
        auto request = chat_call(leaving.url(chat_path), everywhere_key, "chat", "Tell me more",
                                 true, long_answer_tokens);
        request.on_data = [&](const std::string& piece) {
            has_begun = has_begun || piece.find("\"content\"") != std::string::npos;
            return true;
        };
        streamed = perform_when_admitted(request);
        has_begun = true;
    });
    const bool started = wait_until([&] { return has_begun.load(); });
    leaving.process.signal(SIGTERM);
    const auto refused = perform(chat_call(leaving.url(chat_path), everywhere_key, "chat", "New"));
    caller.join();
    const auto code = leaving.process.wait(std::chrono::seconds(30));
    const bool is_complete = streamed.complete && streamed.body.find("[DONE]") != std::string::npos;
    results.print_step(started && is_complete && code == 0 && refused.status != 200,
                       "daemon told to stop while it streams",
                       fmt::format("stream whole: {}, new request: {}, exit code: {}", is_complete,
                                   refused.refusal(), code.value_or(-1)));
}

} // namespace

bool show_all(const std::string& binaries)
{
    const auto logs = binaries + "/logs/quickstart";
    std::filesystem::remove_all(logs);
    std::filesystem::create_directories(logs);
    fleet demo_fleet(binaries, logs);
    std::cout << "starting stand-ins and four daemons; logs in " << logs << std::endl;
    start(demo_fleet);
    report results;
    show_directory(demo_fleet, results);
    show_stream(demo_fleet, results);
    show_other_region(demo_fleet, results);
    show_booking(demo_fleet, results);
    show_region_refusal(demo_fleet, results);
    show_withdrawn_key(demo_fleet, results);
    show_rules_change(demo_fleet, results);
    show_graceful_stop(demo_fleet, results);
    return results.passed();
}

} // namespace chicorylink::quickstart
