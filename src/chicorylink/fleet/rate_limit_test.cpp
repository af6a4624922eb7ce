#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const target_name first{"p0"};

std::optional<double> limit_of(const target_pool& pool)
{
    return pool.find(first)->pushback.limit.per_second;
}

TEST(rate_limit, the_newest_statement_counts)
{
    rate_limit limit;
    EXPECT_TRUE(note_stated(limit, 2.0, at(seconds{5})));
    EXPECT_FALSE(note_stated(limit, 2.0, at(seconds{6})));
    EXPECT_TRUE(note_stated(limit, 1.5, at(seconds{7})));
    EXPECT_EQ(limit.per_second, 1.5);
    // Of a request that was sent before the limit was stated.
    EXPECT_FALSE(note_stated(limit, std::nullopt, at(seconds{6})));
    EXPECT_EQ(limit.per_second, 1.5);
    EXPECT_TRUE(note_stated(limit, std::nullopt, at(seconds{8})));
    EXPECT_EQ(limit.per_second, std::nullopt);
}

TEST(rate_limit, belongs_to_one_run_of_a_target)
{
    target_pool_fixture targets(0, 1);
    EXPECT_TRUE(targets.pool().on_limit_stated(first, 1.0, at(seconds{2})));
    EXPECT_EQ(limit_of(targets.pool()), 1.0);
    targets.publish_run("p0", "plain", 77, at(seconds{3}));
    EXPECT_EQ(limit_of(targets.pool()), std::nullopt);
}

} // namespace
} // namespace chicorylink::fleet
