// The addresses that the directory gives to callers whose region has no VM.

#include "front_fleet.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::seconds;

constexpr const char* east_vm = "127.0.30.1";
constexpr const char* west_vm = "127.0.30.2";

/// Longer than a VM sends no caller to another region after its start.
constexpr seconds discovery_time{3};

/// A VM in each of regions `east` and `west`, and none in `north`. Routes of host `h` that may not
/// run everywhere run in `west`.
class directory : public testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target("i-west", m_target.address(), "west-a");
        m_fleet.start(east_vm, "east");
        m_fleet.start(west_vm, "west");
        for (const auto* ip : {east_vm, west_vm}) {
            ASSERT_TRUE(wait_until([ip] { return front_fleet::is_ready(ip); }, seconds{10}));
        }
        std::this_thread::sleep_for(discovery_time);
    }

    [[nodiscard]] static nlohmann::json named_by(const std::string& ip, const std::string& host)
    {
        return front_fleet::directory(ip, "north", host);
    }

    [[nodiscard]] static nlohmann::json vms(const std::vector<std::string>& ips)
    {
        auto addresses = nlohmann::json::array();
        for (const auto& ip : ips) {
            addresses.push_back(fmt::format("{}:{}", ip, front_fleet::callers_port));
        }
        return addresses;
    }

    scripted_target m_target{[](scripted_target::http_exchange& exchange) {
        return exchange.send(exchange.response("done"));
    }};
    front_fleet m_fleet{binaries(), "chicorylink_directory"};
};

// Guards against callers of a region without VMs that are led to a region where their routes may
// not run, while one where they may has a ready VM.
TEST_F(directory, a_region_without_vms_gets_the_regions_of_its_hosts_routes)
{
    for (const auto* ip : {east_vm, west_vm}) {
        EXPECT_EQ(named_by(ip, "h"), vms({west_vm}));
        // As a query may write it.
        EXPECT_EQ(named_by(ip, "%68"), vms({west_vm}));
        EXPECT_EQ(named_by(ip, "other").size(), 2U);
    }
}

// A VM where some routes of the host may not run is better than none.
TEST_F(directory, a_region_without_vms_gets_any_region_when_those_of_its_hosts_routes_have_none)
{
    m_fleet.at(west_vm).kill();
    EXPECT_TRUE(wait_until([] { return named_by(east_vm, "h") == vms({east_vm}); }, seconds{5}));
}

} // namespace
} // namespace chicorylink::process_tests
