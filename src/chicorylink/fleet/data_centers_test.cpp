#include "chicorylink/fleet/placement_asks.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_desk.hpp"
#include "chicorylink/fleet/pool_of_targets.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

// A region with two data centers, whose links are shared by all that crosses between them.

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::pool_of_targets;

const auto first_place = mark_of(data_center_name{"east-a"});
const auto second_place = mark_of(data_center_name{"east-b"});

class two_data_centers : public testing::Test {
protected:
    two_data_centers() : m_targets(4)
    {
        for (int number = 4; number < 8; ++number) {
            m_targets.publish(fmt::format("e{}", number), "engine,b");
        }
    }

    placement_answer place(std::uint64_t session, std::uint32_t shared, std::uint32_t own,
                           data_center_mark asker)
    {
        auto ask = test_support::ask_for(++m_last, session, shared, own);
        ask.data_center = asker;
        return m_desk.place(m_targets.pool(), "10.0.0.1", base::incarnation{1}, ask,
                            at(seconds{1}));
    }

    [[nodiscard]] data_center_mark place_of(const placement_answer& answer)
    {
        return m_targets.pool().find(answer.target.value())->data_center;
    }

    void end(const placement_answer& answer)
    {
        m_desk.take_note(m_targets.pool(), "10.0.0.1",
                         {answer.number, placement_event::ended, std::nullopt, {}}, at(seconds{1}));
    }

    pool_of_targets m_targets;
    placement_desk m_desk;
    std::uint64_t m_last = 0;
};

// Grown deployment, a quiet day: half of all requests and streams crossed though both data centers
// had idle engines.
TEST_F(two_data_centers, calm_requests_stay_in_the_data_center_of_their_vm)
{
    for (std::uint64_t session = 100; session < 200; ++session) {
        const auto asker = session % 2 == 0 ? first_place : second_place;
        const auto answer = place(session, 0, 300, asker);
        EXPECT_EQ(place_of(answer), asker);
        end(answer);
    }
}

TEST_F(two_data_centers, a_session_is_read_where_it_is_held_though_that_crosses)
{
    const auto first = place(7, 13'000, 400, first_place);
    end(first);
    for (int turn = 0; turn < 5; ++turn) {
        const auto answer = place(7, 13'000, 400, second_place);
        EXPECT_EQ(answer.target, first.target);
        end(answer);
    }
}

// A peak in one data center: a wait weighs more than the way.
TEST_F(two_data_centers, a_peak_of_one_data_center_is_spread_over_both)
{
    int crossed = 0;
    constexpr int requests = 40;
    for (std::uint64_t session = 0; session < requests; ++session) {
        crossed += place_of(place(300 + session, 0, 6'000, first_place)) == second_place ? 1 : 0;
    }
    EXPECT_GE(crossed, requests * 4 / 10);
    EXPECT_LE(crossed, requests / 2);
}

TEST_F(two_data_centers, an_asker_of_an_unknown_data_center_is_near_to_all)
{
    int crossed = 0;
    for (std::uint64_t session = 0; session < 200; ++session) {
        const auto answer = place(500 + session, 0, 300, {});
        crossed += place_of(answer) == second_place ? 1 : 0;
        end(answer);
    }
    EXPECT_GT(crossed, 50);
    EXPECT_LT(crossed, 150);
}

TEST(placement_codec, the_asker_tells_its_data_center)
{
    placement_message message;
    message.run = base::incarnation{3};
    message.asks.emplace_back();
    message.asks.back().data_center = second_place;
    const auto read = decode_placement(encode(message));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->asks.front().data_center, second_place);
}

} // namespace
} // namespace chicorylink::fleet
