#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/stream_origins.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr version_hash old_version{1};
constexpr version_hash new_version{2};

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

TEST(stream_origins, a_stream_is_known_until_it_expires)
{
    stream_origins origins;
    origins.record(stream_hash{7}, new_version, at(seconds{40}));
    EXPECT_EQ(origins.find(stream_hash{7}, at(seconds{39})), new_version);
    EXPECT_EQ(origins.find(stream_hash{7}, at(seconds{40})), std::nullopt);
    EXPECT_EQ(origins.find(stream_hash{8}, at(seconds{1})), std::nullopt);
    origins.drop_expired(at(seconds{40}));
    EXPECT_EQ(origins.size(), 0U);
}

// Guards against a record that a late or wrong message replaces while callers rely on it.
TEST(stream_origins, the_first_record_of_a_stream_counts)
{
    stream_origins origins;
    origins.record(stream_hash{7}, old_version, at(seconds{40}));
    origins.record(stream_hash{7}, new_version, at(seconds{60}));
    EXPECT_EQ(origins.find(stream_hash{7}, at(seconds{39})), old_version);
    EXPECT_EQ(origins.find(stream_hash{7}, at(seconds{41})), std::nullopt);
}

TEST(stream_origins, a_repeated_record_extends_the_time)
{
    stream_origins origins;
    origins.record(stream_hash{7}, old_version, at(seconds{40}));
    origins.record(stream_hash{7}, old_version, at(seconds{50}));
    origins.drop_expired(at(seconds{45}));
    EXPECT_EQ(origins.find(stream_hash{7}, at(seconds{45})), old_version);
}

// Guards against records without a bound when streams begin faster than they expire.
TEST(stream_origins, keeps_the_streams_that_expire_last)
{
    stream_origins origins;
    constexpr auto excess = 10U;
    for (std::uint64_t stream = 0; stream < stream_origins::max_streams + excess; ++stream) {
        origins.record(stream_hash{stream}, old_version,
                       at(seconds{40} + milliseconds{static_cast<std::int64_t>(stream)}));
    }
    EXPECT_EQ(origins.size(), stream_origins::max_streams);
    EXPECT_EQ(origins.find(stream_hash{excess - 1}, at(seconds{1})), std::nullopt);
    EXPECT_EQ(origins.find(stream_hash{excess}, at(seconds{1})), old_version);
}

// Guards against a VM that asks others than those that were told when one VM has left.
TEST(stream_origins, most_keepers_of_a_stream_stay_the_same_when_a_vm_leaves)
{
    std::vector<std::string> ips;
    for (int number = 1; number <= 12; ++number) {
        ips.push_back(fmt::format("10.0.0.{}", number));
    }
    for (std::uint64_t stream = 0; stream < 100; ++stream) {
        const auto before = origin_keepers(stream_hash{stream}, ips);
        ASSERT_EQ(before.size(), 3U);
        auto left = ips;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(stream % ips.size()));
        const auto after = origin_keepers(stream_hash{stream}, left);
        const auto same = std::count_if(before.begin(), before.end(), [&](const auto& ip) {
            return std::find(after.begin(), after.end(), ip) != after.end();
        });
        EXPECT_GE(same, 2);
    }
}

TEST(stream_origins, all_vms_of_a_small_region_keep_a_stream)
{
    const std::vector<std::string> ips{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
    EXPECT_EQ(origin_keepers(stream_hash{7}, ips), ips);
}

TEST(stream_origins, messages_survive_a_round_trip)
{
    placement_message message;
    message.origins = {{stream_hash{7}, new_version, milliseconds{40'000}}};
    message.origin_queries = {{3, stream_hash{8}}};
    message.origin_answers = {{4, old_version}, {5, std::nullopt}};
    const auto bytes = encode(message);
    bool read = false;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_placement(bytes));
            read = true;
            EXPECT_EQ(decoded.origins.at(0).stream, stream_hash{7});
            EXPECT_EQ(decoded.origins.at(0).version, new_version);
            EXPECT_EQ(decoded.origins.at(0).stays, milliseconds{40'000});
            EXPECT_EQ(decoded.origin_queries.at(0).number, 3U);
            EXPECT_EQ(decoded.origin_queries.at(0).stream, stream_hash{8});
            EXPECT_EQ(decoded.origin_answers.at(0).version, old_version);
            EXPECT_EQ(decoded.origin_answers.at(1).number, 5U);
            EXPECT_EQ(decoded.origin_answers.at(1).version, std::nullopt);
            return {};
        },
        [](const base::error& problem) { ADD_FAILURE() << base::describe(problem); }, [] {});
    EXPECT_TRUE(read);
}

} // namespace
} // namespace chicorylink::fleet
