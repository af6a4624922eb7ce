#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/fleet/prompt_cache.hpp"
#include "chicorylink/fleet/retry_detector.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

route route_at(const std::string& name, const std::string& prefix)
{
    route entry;
    entry.name = route_name{name};
    entry.host = "h";
    entry.path_prefix = prefix;
    entry.services = {{service_name{"a"}, 90}, {service_name{"b"}, 10}};
    return entry;
}

TEST(configuration, the_longest_prefix_wins)
{
    const configuration config(base::config_version{1},
                               {route_at("short", "/x/"), route_at("long", "/x/y/")}, {}, {}, {});
    EXPECT_EQ(config.find_route("h", "/x/y/z")->name, route_name{"long"});
    EXPECT_EQ(config.find_route("h", "/x/yz")->name, route_name{"short"});
    EXPECT_EQ(config.find_route("h", "/x"), nullptr);
    EXPECT_EQ(config.find_route("other", "/x/y/"), nullptr);
}

TEST(configuration, services_are_picked_by_weight)
{
    const auto entry = route_at("r", "/");
    int first = 0;
    for (std::uint64_t bits = 0; bits < 1000; ++bits) {
        first += pick_service(entry, bits) == service_name{"a"} ? 1 : 0;
    }
    EXPECT_EQ(first, 900);
}

TEST(configuration, route_and_team_both_restrict_the_regions)
{
    auto entry = route_at("r", "/");
    entry.allowed_regions = {region_name{"east"}, region_name{"west"}};
    team caller_team;
    caller_team.allowed_regions = {region_name{"west"}, region_name{"north"}};
    EXPECT_TRUE(may_run_in(entry, &caller_team, region_name{"west"}));
    EXPECT_FALSE(may_run_in(entry, &caller_team, region_name{"east"}));
    EXPECT_FALSE(may_run_in(entry, &caller_team, region_name{"north"}));
    EXPECT_TRUE(may_run_in(entry, nullptr, region_name{"east"}));
}

TEST(prompt, parts_are_identified_by_all_preceding_parts)
{
    const auto a = parse_prompt_parts("m", "aa:10,bb:20");
    const auto b = parse_prompt_parts("m", "cc:10,bb:20");
    const auto other_model = parse_prompt_parts("n", "aa:10,bb:20");
    ASSERT_EQ(a.size(), 2U);
    EXPECT_EQ(a[1].tokens, 20U);
    EXPECT_NE(a[1].chain, b[1].chain);
    EXPECT_NE(a[0].chain, other_model[0].chain);
    EXPECT_EQ(a.back().id, b.back().id);
    EXPECT_NE(a.front().id, b.front().id);
    EXPECT_TRUE(parse_prompt_parts("m", "nonsense").empty());
    EXPECT_FALSE(parse_token_counts("12"));
    EXPECT_EQ(parse_token_counts("12, 7")->answer_tokens, 7U);
}

TEST(prompt_cache, matches_leading_parts_only_and_drops_them_with_time)
{
    prompt first;
    first.parts = {{1, 100}, {2, 200}, {3, 300}};
    prompt gap;
    gap.parts = {{1, 100}, {9, 50}, {3, 300}};
    prompt_cache cache;
    cache.note_read(first, base::time_point{seconds{1}});
    EXPECT_EQ(cache.cached_tokens(first, base::time_point{seconds{2}}), 600U);
    EXPECT_EQ(cache.cached_tokens(gap, base::time_point{seconds{2}}), 100U);
    EXPECT_EQ(cache.cached_tokens(first, base::time_point{seconds{60}}), 0U);
}

TEST(prompt_cache, keeps_the_newest_parts_when_full)
{
    prompt_cache cache;
    cache.set_capacity(2000);
    prompt last;
    for (std::uint64_t number = 0; number < 100; ++number) {
        last.parts = {{number, 100}};
        cache.note_read(last, base::time_point{milliseconds{number}});
    }
    EXPECT_EQ(cache.cached_tokens(last, base::time_point{milliseconds{100}}), 100U);
    prompt first;
    first.parts = {{0, 100}};
    EXPECT_EQ(cache.cached_tokens(first, base::time_point{milliseconds{100}}), 0U);
}

TEST(retry_detector, recognizes_a_retry)
{
    retry_detector detector;
    EXPECT_FALSE(detector.is_retry(route_name{"r"}, milliseconds{3000}));
    EXPECT_TRUE(detector.is_retry(route_name{"r"}, milliseconds{2700}));
    EXPECT_FALSE(detector.is_retry(route_name{"r"}, milliseconds{2990}));
}

TEST(heartbeat_codec, round_trips_a_heartbeat_of_a_delegate)
{
    heartbeat message;
    message.from = {vm_name{"vm"},        "10.1.2.3",     region_name{"east"}, {},
                    base::incarnation{7}, vm_capacity{25}};
    message.state = member_state::leaving;
    message.sequence = 5;
    message.version = base::config_version{12};
    message.confirmed_age = milliseconds{340};
    message.items_revision = {store_era{3}, 99};
    message.contact_age = milliseconds{70'000};
    message.failed_read_age = milliseconds{80'000};
    message.usage = {{base::team_id{3}, 1000}};
    message.targets = {{base::target_id{4}, 5, 6000, 7, 8, milliseconds{90}}};
    region_digest digest;
    digest.region = region_name{"west"};
    digest.members = {{"10.2.0.9", base::incarnation{8}, vm_capacity{50}, member_state::ready,
                       milliseconds{120}}};
    digest.outlook = {{11, 3, milliseconds{45}}};
    message.digests = {digest};
    const auto bytes = encode(message);
    const auto read = decode_heartbeat(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from.ip, "10.1.2.3");
    EXPECT_EQ(read->state, member_state::leaving);
    EXPECT_EQ(read->confirmed_age, milliseconds{340});
    EXPECT_EQ(read->items_revision, (store_revision{store_era{3}, 99}));
    EXPECT_EQ(read->contact_age, milliseconds{70'000});
    EXPECT_EQ(read->failed_read_age, milliseconds{80'000});
    EXPECT_EQ(read->targets.front().waiting, 8U);
    ASSERT_EQ(read->digests.size(), 1U);
    EXPECT_EQ(read->digests.front().members.front().ip, "10.2.0.9");
    EXPECT_EQ(read->digests.front().members.front().capacity, vm_capacity{50});
    EXPECT_EQ(read->digests.front().outlook.front().wait, milliseconds{45});
}

TEST(heartbeat_codec, rejects_invalid_datagrams)
{
    auto bytes = encode(heartbeat{});
    EXPECT_FALSE(decode_heartbeat(bytes));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_FALSE(decode_heartbeat(std::span{bytes}.first(length)));
    }
}

} // namespace
} // namespace chicorylink::fleet
