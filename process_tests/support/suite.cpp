#include "suite.hpp"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::process_tests {

std::string binaries()
{
    const char* folder = std::getenv("CHICORYLINK_BINARIES");
    return folder == nullptr ? "build" : folder;
}

std::string log_folder(const std::string& suite)
{
    auto folder = binaries() + "/logs/" + suite;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

std::string two_region_rules(const fleet& test_fleet, bool with_passing_key)
{
    std::string text = "region north # test\n"
                       "region south # test\n"
                       "link north south delay=55ms rate=140Mbit # test\n"
                       "team both regions=north,south rate=50000/s burst=500000 # test\n"
                       "team north-only regions=north rate=50000/s burst=500000 # test\n"
                       "team passing regions=north rate=50000/s burst=500000 # test\n"
                       "team small regions=north rate=10/s burst=60 # test\n"
                       "route chat kind=model deadline=10s # test\n"
                       "route bookings kind=service idempotent=no deadline=5s # test\n";
    text += fmt::format("key both {} # test\n", digest_of(both_key));
    text += fmt::format("key north-only {} # test\n", digest_of(north_key));
    text += fmt::format("key small {} # test\n", digest_of(small_key));
    if (with_passing_key) {
        text += fmt::format("key passing {} # test\n", digest_of(passing_key));
    }
    for (const char* region : {"north", "south"}) {
        text += fmt::format("target engine-{0} region={0} address={1} routes=chat slots=8 # test\n",
                            region, test_fleet.target_address(fmt::format("engine-{}", region)));
    }
    text += fmt::format("target booking region=north address={} routes=bookings slots=16 # test\n",
                        test_fleet.target_address("booking"));
    return text;
}

std::unique_ptr<fleet> start_two_regions(const std::string& suite)
{
    auto test_fleet = std::make_unique<fleet>(binaries(), log_folder(suite));
    for (const char* region : {"north", "south"}) {
        test_fleet->start_target(fmt::format("engine-{}", region), "stand_in_engine",
                                 {"--token-delay-ms", "5"});
    }
    test_fleet->start_target("booking", "stand_in_service");
    const auto version = test_fleet->publish(two_region_rules(*test_fleet));
    test_fleet->start_vm("vm-north-1", "north");
    test_fleet->start_vm("vm-north-2", "north");
    test_fleet->start_vm("vm-south-1", "south");
    if (!test_fleet->wait_ready(version)) {
        throw std::runtime_error("the daemons did not become ready; see their logs");
    }
    for (auto& [name, daemon] : test_fleet->vms()) {
        const auto first_response =
            perform_when_admitted(chat_call(daemon.url(chat_path), both_key, "chat", "ready?"));
        if (first_response.status != 200) {
            throw std::runtime_error(name + " does not serve: " + first_response.body);
        }
    }
    return test_fleet;
}

std::string ticket_for(const vm& at, const std::string& key)
{
    const auto response = perform({.method = "POST",
                                   .url = at.url("/v1/tickets?route=bookings"),
                                   .headers = {"Authorization: Bearer " + key}})
                              .json();
    return response.is_object() ? response.value("ticket", "") : "";
}

call booking_call(const vm& at, const std::string& key, const std::string& ticket,
                  const std::string& body)
{
    call request{.method = "POST", .url = at.url("/bookings/new"), .body = body};
    request.headers = {"Authorization: Bearer " + key, "Content-Type: application/json"};
    if (!ticket.empty()) {
        request.headers.push_back("X-Chicorylink-Ticket: " + ticket);
    }
    return request;
}

} // namespace chicorylink::process_tests
