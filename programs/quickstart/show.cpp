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
    void line(bool passed, const std::string& what, const std::string& seen)
    {
        m_passed = m_passed && passed;
        std::cout << (passed ? "ok    " : "WRONG ") << what << ": " << seen << std::endl;
    }

    [[nodiscard]] bool passed() const { return m_passed; }

private:
    bool m_passed = true;
};

/// The rules of the demonstration, with or without the key to be withdrawn.
std::string rules_text(const fleet& all, bool with_passing_key, int south_rate)
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
                            region, all.target_address(fmt::format("engine-{}", region)));
    }
    text += fmt::format("target booking region=north address={} routes=bookings slots=16 "
                        "# platform: services\n",
                        all.target_address("booking"));
    return text;
}

void start(fleet& all)
{
    for (const char* region : {"north", "south", "west"}) {
        all.start_target(fmt::format("engine-{}", region), "stand_in_engine",
                         {"--token-delay-ms", "10"});
    }
    all.start_target("booking", "stand_in_service");
    const auto version = all.publish(rules_text(all, true, 2'000));
    all.start_vm("vm-north-1", "north");
    all.start_vm("vm-north-2", "north");
    all.start_vm("vm-south-1", "south");
    all.start_vm("vm-west-1", "west");
    if (!all.wait_ready(version)) {
        throw std::runtime_error("the daemons did not become ready; see their logs");
    }
}

void show_directory(fleet& all, report& lines)
{
    const auto answer = perform({.url = all.at("vm-west-1").url("/v1/vms"),
                                 .headers = {fmt::format("Authorization: Bearer {}", south_key)}});
    const auto list = answer.json();
    const bool passed = answer.status == 200 && list.contains("vms") && list["vms"].size() == 1;
    lines.line(passed, "VM list for a team that may only use south", answer.body);
}

void show_stream(fleet& all, report& lines)
{
    const auto answer = perform_when_admitted(
        chat_call(all.at("vm-north-1").url(chat_path), everywhere_key, "chat", "Hello", true));
    const bool passed =
        answer.status == 200 && answer.complete && answer.body.find("[DONE]") != std::string::npos;
    lines.line(passed, "streamed chat answer in the home region",
               fmt::format("status {}, {} bytes, whole: {}", answer.status, answer.body.size(),
                           answer.complete));
}

void show_other_region(fleet& all, report& lines)
{
    const auto requests_elsewhere = [&] {
        return all.counter("engine-south", "requests") + all.counter("engine-west", "requests");
    };
    const auto before = requests_elsewhere();
    all.target("engine-north").kill();
    const auto answer = perform_when_admitted(
        chat_call(all.at("vm-north-1").url(chat_path), everywhere_key, "chat", "Hello again"));
    const bool passed = answer.status == 200 && requests_elsewhere() > before;
    lines.line(passed, "chat answered in another allowed region after the home engine is gone",
               fmt::format("status {}, requests elsewhere: {}", answer.status,
                           requests_elsewhere() - before));
}

void show_booking(fleet& all, report& lines)
{
    const std::string key = fmt::format("Authorization: Bearer {}", everywhere_key);
    const auto ticket = perform({.method = "POST",
                                 .url = all.at("vm-south-1").url("/v1/tickets?route=bookings"),
                                 .headers = {key}});
    const auto issued = ticket.json();
    const std::string header =
        "X-Chicorylink-Ticket: " + (issued.is_object() ? issued.value("ticket", "") : "");
    const call booking{.method = "POST",
                       .url = all.at("vm-south-1").url("/bookings/appointments"),
                       .headers = {key, header, "Content-Type: application/json"},
                       .body = R"({"client": 7, "at": "10:30"})"};
    const auto first = perform_when_admitted(booking);
    auto repeated = booking;
    repeated.url = all.at("vm-north-2").url("/bookings/appointments");
    const auto second = perform_when_admitted(repeated);
    const auto runs = all.counter("booking", "runs");
    const bool passed =
        first.status == 200 && second.status == 200 && first.body == second.body && runs == 1;
    lines.line(passed, "booking repeated through another VM",
               fmt::format("statuses {} and {}, runs: {}, outcome: {}", first.status, second.status,
                           runs, second.header("x-chicorylink-outcome")));
}

void show_region_refusal(fleet& all, report& lines)
{
    const auto answer = perform(
        {.method = "POST",
         .url = all.at("vm-north-1").url(chat_path),
         .headers = {fmt::format("Authorization: Bearer {}", south_key), "Content-Length: 5000000"},
         .timeout_ms = 5'000});
    const bool passed = answer.refusal() == "region_not_allowed" &&
                        answer.header("x-chicorylink-outcome") == "not-run";
    lines.line(passed, "team that may not use this region, refused before its body is sent",
               fmt::format("{} {}", answer.status, answer.refusal()));
}

void show_withdrawn_key(fleet& all, report& lines)
{
    connection open;
    auto wanted = chat_call(all.at("vm-north-1").url("/v1/vms"), passing_key, "chat", "x");
    wanted.method = "GET";
    wanted.body.clear();
    const auto before = open.perform(wanted);
    all.publish(rules_text(all, false, 2'000));
    reply after;
    const bool refused = wait_until([&] {
        after = open.perform(wanted);
        return after.refusal() == "unknown_key";
    });
    lines.line(before.status == 200 && refused && open.opened() == 1,
               "withdrawn key on a connection that is still open",
               fmt::format("{} then {} {}, connections opened: {}", before.status, after.status,
                           after.refusal(), open.opened()));
}

void show_rules_change(fleet& all, report& lines)
{
    const auto version = all.publish(rules_text(all, false, 3'000));
    const bool in_force = all.wait_ready(version);
    std::size_t audited = 0;
    std::string seen;
    for (auto& [name, which] : all.vms()) {
        const auto audit = perform({.url = which.operators_url("/v1/audit")});
        const auto rows = audit.json();
        for (const auto& row : rows.value("rows", nlohmann::json::array())) {
            if (row.dump().find("legal: data stays") != std::string::npos) {
                ++audited;
                seen = row.dump();
                break;
            }
        }
    }
    lines.line(in_force && audited == all.vms().size(),
               fmt::format("rules version {} in force on {} daemons with its audit line", version,
                           all.vms().size()),
               seen);
}

void show_graceful_stop(fleet& all, report& lines)
{
    auto& leaving = all.at("vm-south-1");
    std::atomic<bool> begun{false};
    reply streamed;
    std::thread caller([&] {
        auto wanted = chat_call(leaving.url(chat_path), everywhere_key, "chat", "Tell me more",
                                true, long_answer_tokens);
        wanted.on_data = [&](const std::string& piece) {
            begun = begun || piece.find("\"content\"") != std::string::npos;
            return true;
        };
        streamed = perform_when_admitted(wanted);
        begun = true;
    });
    const bool started = wait_until([&] { return begun.load(); });
    leaving.process.signal(SIGTERM);
    const auto refused = perform(chat_call(leaving.url(chat_path), everywhere_key, "chat", "New"));
    caller.join();
    const auto code = leaving.process.wait(std::chrono::seconds(30));
    const bool whole = streamed.complete && streamed.body.find("[DONE]") != std::string::npos;
    lines.line(started && whole && code == 0 && refused.status != 200,
               "daemon told to stop while it streams",
               fmt::format("stream whole: {}, new request: {}, exit code: {}", whole,
                           refused.refusal(), code.value_or(-1)));
}

} // namespace

bool show_all(const std::string& binaries)
{
    const auto logs = binaries + "/logs/quickstart";
    std::filesystem::remove_all(logs);
    std::filesystem::create_directories(logs);
    fleet all(binaries, logs);
    std::cout << "starting stand-ins and four daemons; logs in " << logs << std::endl;
    start(all);
    report lines;
    show_directory(all, lines);
    show_stream(all, lines);
    show_other_region(all, lines);
    show_booking(all, lines);
    show_region_refusal(all, lines);
    show_withdrawn_key(all, lines);
    show_rules_change(all, lines);
    show_graceful_stop(all, lines);
    return lines.passed();
}

} // namespace chicorylink::quickstart
