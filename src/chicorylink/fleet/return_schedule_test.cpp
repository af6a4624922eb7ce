#include "chicorylink/fleet/return_schedule.hpp"

#include <chrono>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_name some_service{"plain"};
constexpr double per_second = 2;

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

TEST(return_schedule, refused_callers_return_at_the_rate_that_is_taken)
{
    return_schedule schedule;
    const auto next = [&](const service_name& service, base::time_point now) {
        return schedule.next(service, per_second, seconds{100}, now);
    };
    const auto now = at(seconds{1});
    EXPECT_EQ(next(some_service, now), milliseconds{500});
    EXPECT_EQ(next(some_service, now), milliseconds{1000});
    EXPECT_EQ(next(some_service, now), milliseconds{1500});
    EXPECT_EQ(next(service_name{"other"}, now), milliseconds{500});
    // All of them have returned.
    EXPECT_EQ(next(some_service, at(seconds{9})), milliseconds{500});
    for (int caller = 0; caller < 1000; ++caller) {
        EXPECT_LE(next(some_service, at(seconds{9})), seconds{60});
    }
}

// Guards against callers that are told a minute because of a burst of others, of which few return:
// a caller whose deadline passes before its turn does not come back.
TEST(return_schedule, callers_that_cannot_wait_for_their_turn_take_none)
{
    return_schedule schedule;
    for (int caller = 0; caller < 1000; ++caller) {
        EXPECT_LE(schedule.next(some_service, per_second, seconds{3}, at(seconds{9})),
                  milliseconds{3500});
    }
    EXPECT_EQ(schedule.next(some_service, per_second, seconds{15}, at(seconds{9})),
              milliseconds{3500});
    EXPECT_EQ(schedule.next(some_service, per_second, seconds{3}, at(seconds{12})),
              milliseconds{1000});
}

} // namespace
} // namespace chicorylink::fleet
