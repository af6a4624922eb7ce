// Entries of targets that another writer left in the store must neither end a daemon nor keep it
// from following the list.

#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* first_vm = "127.0.8.1";
constexpr const char* second_vm = "127.0.8.2";
constexpr const char* late_vm = "127.0.8.3";

/// How long a change of the list may take to reach all VMs.
constexpr seconds change_time{5};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

scripted_target::script answering(const std::string& name)
{
    return [name](http_exchange& exchange) { return exchange.send(exchange.response(name)); };
}

/// Two VMs before two targets, of which one at a time is published, and a target that only odd
/// entries name.
class odd_entries : public testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.publish_config(1, {"secret"});
        publish(0);
        start(first_vm);
        start(second_vm);
        ASSERT_TRUE(is_served_by(0));
    }

    void start(const char* ip)
    {
        m_fleet.start(ip, "east");
        ASSERT_TRUE(wait_until([ip] { return front_fleet::is_ready(ip); }, seconds{10}));
    }

    void publish(std::size_t number)
    {
        m_fleet.publish_target(fmt::format("i-{}", number), m_targets.at(number).address(),
                               "east-a");
    }

    /// Replaces the published target by the other one, and waits until all VMs have followed.
    [[nodiscard]] bool follows_a_replacement()
    {
        m_fleet.store().remove(fmt::format("servers/i-{}", m_published));
        m_published = 1 - m_published;
        publish(m_published);
        return is_served_by(m_published);
    }

    /// Waits until each VM has a request served by a target. Each request is answered meanwhile.
    [[nodiscard]] bool is_served_by(std::size_t number)
    {
        for (const auto& [ip, process] : m_fleet.vms()) {
            const bool served = wait_until(
                [&, at = ip] { return serving_target(at) == fmt::format("target {}", number); },
                change_time);
            if (!served) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] std::string serving_target(const std::string& ip)
    {
        const auto result =
            perform(front_fleet::request(ip, "/unsafe/x", fmt::format("id-{}", ++m_requests)));
        EXPECT_NE(result.status, 0) << ip;
        return result.body;
    }

    [[nodiscard]] bool all_run()
    {
        for (const auto& [ip, process] : m_fleet.vms()) {
            if (process->wait(milliseconds{0}) || !process->running()) {
                return false;
            }
        }
        return true;
    }

    /// A sound entry of the target that must get no request, with some fields replaced.
    [[nodiscard]] std::string entry_with(const nlohmann::json& replaced) const
    {
        nlohmann::json entry{{"service", "app"}, {"address", m_unwanted.address()},
                             {"zone", "east-a"}, {"slots", 6},
                             {"state", "ready"}, {"coldLeftMs", 0},
                             {"sequence", 1},    {"born", 1}};
        entry.update(replaced);
        return entry.dump();
    }

    [[nodiscard]] std::vector<std::string> odd_values() const
    {
        auto overflowing = entry_with({{"slots", 123454321}});
        overflowing.replace(overflowing.find("123454321"), 9, "1e999");
        auto nested_field = entry_with({{"models", "HERE"}});
        nested_field.replace(nested_field.find("\"HERE\""), 6, nested(100'000));
        return {"",
                std::string("\xff\xfe\x00{", 4),
                "\"" + std::string(100'000, '\xff'),
                "[]",
                nested(500'000),
                std::string(500'000, '{'),
                nested_field,
                overflowing,
                entry_with({{"slots", 1e300}}),
                entry_with({{"slots", -1}}),
                entry_with({{"slots", 0}}),
                entry_with({{"coldLeftMs", 1e300}}),
                entry_with({{"coldLeftMs", 1e17}}),
                entry_with({{"born", 1e300}}),
                entry_with({{"address", "127.0.0.1:99999"}}),
                entry_with({{"address", "127.0.0.1:0"}}),
                entry_with({{"address", "host"}}),
                entry_with({{"address", "0.0.0.0" + m_unwanted.address().substr(9)}}),
                entry_with({{"address", std::string(100'000, '1')}}),
                entry_with({{"address", nullptr}}),
                entry_with({{"service", nlohmann::json::array()}}),
                entry_with({{"state", std::string(100'000, 'x')}})};
    }

    scripted_target m_unwanted{answering("unwanted")};
    std::array<scripted_target, 2> m_targets{scripted_target{answering("target 0")},
                                             scripted_target{answering("target 1")}};
    std::size_t m_published = 0;
    int m_requests = 0;
    front_fleet m_fleet{binaries(), "chicorylink_odd_entries"};
};

// Guards against one odd entry that ends the daemons, that names a target, or that makes the rest
// of the list unreadable.
TEST_F(odd_entries, each_odd_entry_names_no_target_and_the_others_hold)
{
    std::size_t number = 0;
    for (const auto& value : odd_values()) {
        m_fleet.store().put("servers/i-odd", value);
        EXPECT_TRUE(follows_a_replacement()) << number << ": " << value.substr(0, 200);
        ASSERT_TRUE(all_run()) << number << ": " << value.substr(0, 200);
        // Some odd entries stay beside the others.
        m_fleet.store().put(fmt::format("servers/i-odd-{}", number % 4), value);
        ++number;
    }
    for (const auto* key : {"servers/", "servers/i\r\nHost: other", "servers/i odd"}) {
        m_fleet.store().put(key, entry_with(nlohmann::json::object()));
        EXPECT_TRUE(follows_a_replacement()) << key;
    }
    m_fleet.store().put("op/evacuate/" + std::string(180, 'z'), "\xff");
    m_fleet.store().put("op/config", R"({"version":9,"routes":)" + nested(450'000) + "}");
    EXPECT_TRUE(follows_a_replacement());
    ASSERT_TRUE(all_run());
    // A daemon that reads the whole list with what is odd in it.
    m_fleet.publish_config(10, {"secret"});
    start(late_vm);
    EXPECT_TRUE(is_served_by(m_published));
    EXPECT_TRUE(follows_a_replacement());
    EXPECT_TRUE(all_run());
    EXPECT_EQ(m_unwanted.request_count(), 0);
}

// Guards against daemons that stop following the list because several huge entries, written between
// two reads, make a response larger than they accept.
TEST_F(odd_entries, several_huge_entries_do_not_end_the_reading)
{
    const auto huge = nested(450'000);
    for (int number = 0; number < 6; ++number) {
        m_fleet.store().put(fmt::format("servers/i-huge-{}", number), huge);
    }
    EXPECT_TRUE(follows_a_replacement());
    EXPECT_TRUE(follows_a_replacement());
    EXPECT_TRUE(all_run());
}

// Guards against a target that stays in use after another writer replaced its entry.
TEST_F(odd_entries, a_target_whose_entry_becomes_odd_gets_no_more_requests)
{
    m_fleet.store().put("servers/i-0", R"({"service":"app","address":"127.0.0.1:99999"})");
    for (const auto* ip : {first_vm, second_vm}) {
        EXPECT_TRUE(wait_until([&] { return serving_target(ip) != "target 0"; }, change_time));
    }
    const auto before = m_targets.at(0).request_count();
    for (int turn = 0; turn < 20; ++turn) {
        EXPECT_NE(serving_target(first_vm), "target 0");
        EXPECT_NE(serving_target(second_vm), "target 0");
    }
    EXPECT_EQ(m_targets.at(0).request_count(), before);
    publish(0);
    EXPECT_TRUE(is_served_by(0));
}

} // namespace
} // namespace chicorylink::process_tests
