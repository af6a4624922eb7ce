#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/placement_queries.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

// Placement in a region with two data centers, whose links are shared by all traffic between them.

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const auto first_data_center = hash_of(data_center_name{"east-a"});
const auto second_data_center = hash_of(data_center_name{"east-b"});

class two_data_centers : public testing::Test {
protected:
    two_data_centers() : m_targets(4)
    {
        for (int number = 4; number < 8; ++number) {
            m_targets.publish(fmt::format("e{}", number), "engine,b");
        }
    }

    placement_answer place(std::uint64_t session, std::uint32_t shared, std::uint32_t own,
                           data_center_hash sender)
    {
        auto query = test_support::make_query(++m_last, session, shared, own);
        query.data_center = sender;
        return m_coordinator.place(m_targets.pool(), "10.0.0.1", base::incarnation{1}, query,
                                   at(seconds{1}));
    }

    [[nodiscard]] data_center_hash data_center_of(const placement_answer& answer)
    {
        return m_targets.pool().find(answer.target.value())->data_center;
    }

    void end(const placement_answer& answer)
    {
        m_coordinator.apply_note(m_targets.pool(), "10.0.0.1",
                                 {answer.number, placement_event::ended, std::nullopt, {}},
                                 at(seconds{1}));
    }

    target_pool_fixture m_targets;
    placement_coordinator m_coordinator;
    std::uint64_t m_last = 0;
};

// Without a cost for crossing, half of all requests and streams of a large region went to the other
// data center at low load, although both data centers had idle engines.
TEST_F(two_data_centers, idle_data_centers_keep_their_own_requests)
{
    for (std::uint64_t session = 100; session < 200; ++session) {
        const auto sender = session % 2 == 0 ? first_data_center : second_data_center;
        const auto answer = place(session, 0, 300, sender);
        EXPECT_EQ(data_center_of(answer), sender);
        end(answer);
    }
}

TEST_F(two_data_centers, a_session_goes_to_its_cached_parts_in_another_data_center)
{
    const auto first = place(7, 13'000, 400, first_data_center);
    end(first);
    for (int turn = 0; turn < 5; ++turn) {
        const auto answer = place(7, 13'000, 400, second_data_center);
        EXPECT_EQ(answer.target, first.target);
        end(answer);
    }
}

// During a peak in one data center, the wait there costs more than the crossing.
TEST_F(two_data_centers, a_peak_in_one_data_center_is_spread_over_both)
{
    int crossed = 0;
    constexpr int requests = 40;
    for (std::uint64_t session = 0; session < requests; ++session) {
        crossed +=
            data_center_of(place(300 + session, 0, 6'000, first_data_center)) == second_data_center
                ? 1
                : 0;
    }
    EXPECT_GE(crossed, requests * 4 / 10);
    EXPECT_LE(crossed, requests / 2);
}

TEST_F(two_data_centers, an_unknown_data_center_is_near_to_all_targets)
{
    int crossed = 0;
    for (std::uint64_t session = 0; session < 200; ++session) {
        const auto answer = place(500 + session, 0, 300, {});
        crossed += data_center_of(answer) == second_data_center ? 1 : 0;
        end(answer);
    }
    EXPECT_GT(crossed, 50);
    EXPECT_LT(crossed, 150);
}

TEST(placement_codec, a_query_carries_the_data_center_of_its_sender)
{
    placement_message message;
    message.run = base::incarnation{3};
    message.queries.emplace_back();
    message.queries.back().data_center = second_data_center;
    const auto read = decode_placement(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->queries.front().data_center, second_data_center);
}

} // namespace
} // namespace chicorylink::fleet
