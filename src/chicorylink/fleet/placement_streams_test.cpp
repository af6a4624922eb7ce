#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/placement_queries.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

// How the coordinator places prompts whose parts engines can fetch from each other, and streams
// that have to end before their deadlines.

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const base::incarnation first_run{1};
const std::string vm{"10.0.0.1"};

class placement_streams : public testing::Test {
protected:
    placement_streams() : m_targets(0)
    {
        m_targets.publish("a", "linked");
        m_targets.publish("b", "linked");
    }

    static placement_query make_query(std::uint64_t number, std::uint64_t session,
                                      std::uint32_t shared, std::uint32_t own)
    {
        auto query = test_support::make_query(number, session, shared, own);
        query.service = service_name{"linked"};
        return query;
    }

    placement_answer place(const placement_query& query, base::time_point now)
    {
        return m_coordinator.place(m_targets.pool(), vm, first_run, query, now);
    }

    void begin(std::uint64_t number, base::time_point now)
    {
        m_coordinator.apply_note(m_targets.pool(), vm,
                                 {number, placement_event::begun, std::nullopt, {}}, now);
    }

    /// A session's first request, which one engine has read, and a queue at that engine.
    placement_answer keep_holder_busy()
    {
        const auto first = place(make_query(1, 42, 5'400, 1'000), at(seconds{1}));
        begin(1, at(milliseconds{1'200}));
        auto other = make_query(2, 7, 0, 60'000);
        for (const auto& [name, target] : m_targets.pool().targets()) {
            if (target.id != first.target) {
                other.avoided.push_back(target.id);
            }
        }
        EXPECT_TRUE(place(other, at(milliseconds{1'300})).is_reserved);
        return first;
    }

    target_pool_fixture m_targets;
    placement_coordinator m_coordinator;
};

// Guards against reading the shared parts of a session again when it leaves a busy engine.
TEST_F(placement_streams, a_session_that_leaves_a_busy_engine_fetches_its_parts_from_it)
{
    const auto first = keep_holder_busy();
    const auto second = place(make_query(3, 42, 5'400, 1'000), at(milliseconds{1'400}));
    ASSERT_TRUE(second.is_reserved);
    EXPECT_NE(second.target, first.target);
    EXPECT_EQ(second.prefix_holder, first.target);
    EXPECT_EQ(second.unread_tokens, 1'000U);
    // Transfers on a link run one after another.
    const auto* holder = m_targets.pool().find(*first.target);
    EXPECT_GT(holder->link_free_at, at(milliseconds{1'400 + 5'400 / 140}));
}

// Guards against a transfer from an engine that has not read the parts yet: the other engine would
// wait for nothing and read them all the same.
TEST_F(placement_streams, parts_that_are_not_read_yet_are_not_fetched)
{
    const auto first = place(make_query(1, 42, 5'400, 60'000), at(seconds{1}));
    auto query = make_query(2, 42, 5'400, 1'000);
    query.avoided.push_back(*first.target);
    const auto second = place(query, at(milliseconds{1'010}));
    EXPECT_FALSE(second.prefix_holder);
    EXPECT_EQ(second.unread_tokens, 6'400U);
}

// Guards against a cache that is remembered beyond the run of its engine.
TEST_F(placement_streams, a_holder_that_has_started_again_holds_nothing)
{
    const auto first = keep_holder_busy();
    const auto name = m_targets.pool().find(*first.target)->entry.name;
    m_targets.publish(name.text(), "linked@77");
    auto query = make_query(3, 42, 5'400, 1'000);
    query.avoided.push_back(*first.target);
    const auto second = place(query, at(milliseconds{1'400}));
    EXPECT_FALSE(second.prefix_holder);
    EXPECT_EQ(second.unread_tokens, 6'400U);
}

// Guards against streams that hold an engine until their deadlines and give their callers nothing.
TEST_F(placement_streams, a_stream_that_would_end_too_late_is_placed_elsewhere_or_not_at_all)
{
    const auto slow = base::id_of<base::target_id>("a");
    const auto fast = base::id_of<base::target_id>("b");
    for (int ms = 0; ms < 20'000; ms += 500) {
        m_targets.pool().on_tokens(slow, 100, milliseconds{ms < 10'000 ? 600 : 3'500},
                                   at(milliseconds{ms}));
        m_targets.pool().on_tokens(fast, 100, milliseconds{600}, at(milliseconds{ms}));
    }
    const auto now = at(seconds{20});
    auto query = make_query(1, 1, 0, 1'000);
    query.engine_prompt->output_tokens = 400;
    query.time_left = seconds{8};
    const auto answer = place(query, now);
    EXPECT_TRUE(answer.is_reserved);
    EXPECT_EQ(answer.target, fast);
    EXPECT_GT(answer.end, seconds{2});
    query.number = 2;
    query.avoided.push_back(fast);
    const auto late = place(query, now);
    EXPECT_FALSE(late.is_reserved);
    EXPECT_GT(late.end, seconds{8});
    // Without a stated output nothing is predicted.
    query.number = 3;
    query.engine_prompt->output_tokens = 0;
    EXPECT_TRUE(place(query, now).is_reserved);
}

TEST_F(placement_streams, details_and_tokens_survive_a_round_trip)
{
    placement_message message;
    message.queries = {make_query(1, 42, 5'000, 1'000)};
    message.queries[0].engine_prompt->output_tokens = 385;
    message.queries[0].time_left = milliseconds{9'000};
    message.answers = {{5, true, base::target_id{8}}, {6, true, base::target_id{9}}};
    message.answers[1].prefix_holder = base::target_id{8};
    message.answers[1].end = milliseconds{4'000};
    message.tokens = {{base::target_id{8}, 70, milliseconds{420}}};
    const auto bytes = encode(message);
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_placement(bytes));
            EXPECT_EQ(decoded.queries.at(0).engine_prompt->output_tokens, 385U);
            EXPECT_EQ(decoded.queries.at(0).time_left, milliseconds{9'000});
            EXPECT_FALSE(decoded.answers.at(0).prefix_holder);
            EXPECT_EQ(decoded.answers.at(1).prefix_holder, base::target_id{8});
            EXPECT_EQ(decoded.answers.at(1).end, milliseconds{4'000});
            EXPECT_EQ(decoded.tokens.at(0).tokens, 70U);
            EXPECT_EQ(decoded.tokens.at(0).elapsed, milliseconds{420});
            return {};
        },
        [](const base::error& problem) { ADD_FAILURE() << base::describe(problem); },
        [] { ADD_FAILURE() << "unknown error"; });
}

} // namespace
} // namespace chicorylink::fleet
