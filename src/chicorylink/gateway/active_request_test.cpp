#include "chicorylink/gateway/request_table.hpp"

#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

using std::chrono::milliseconds;

constexpr base::time_point start{milliseconds{1'000}};

TEST(request_table, finds_a_request_only_between_add_and_remove)
{
    request_table table;
    const auto entry = table.make();
    EXPECT_EQ(table.find(entry->id), nullptr);
    EXPECT_TRUE(table.all().empty());
    table.add(entry);
    EXPECT_EQ(table.find(entry->id), entry);
    table.remove(entry->id);
    EXPECT_EQ(table.find(entry->id), nullptr);
    EXPECT_EQ(table.size(), 0U);
}

TEST(active_request, outcome_covers_all_attempts)
{
    active_request entry{routing::request_id{1}};
    entry.deadline = start + milliseconds{500};
    EXPECT_EQ(outcome_so_far(entry), dispatch::outcome::not_run);
    const auto first = next_attempt(entry, base::incarnation{7}, start);
    ASSERT_TRUE(dispatch::begin_write(entry.current_attempt, start));
    EXPECT_EQ(outcome_so_far(entry), dispatch::outcome::unknown);
    dispatch::apply(entry.current_attempt, dispatch::attempt_event::lost);
    const auto second = next_attempt(entry, base::incarnation{7}, start);
    EXPECT_NE(first, second);
    EXPECT_FALSE(is_current(entry, first));
    EXPECT_TRUE(is_current(entry, second));
    dispatch::apply(entry.current_attempt, dispatch::attempt_event::confirmed_not_run);
    EXPECT_EQ(outcome_so_far(entry), dispatch::outcome::unknown);
}

TEST(active_request, nothing_is_written_after_the_deadline)
{
    active_request entry{routing::request_id{1}};
    entry.deadline = start + milliseconds{500};
    next_attempt(entry, base::incarnation{7}, start);
    EXPECT_FALSE(dispatch::begin_write(entry.current_attempt, entry.deadline));
    EXPECT_EQ(outcome_so_far(entry), dispatch::outcome::not_run);
}

} // namespace
} // namespace chicorylink::gateway
