#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/service_returns.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_name some_service{"plain"};

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

service_returns with_ten_begins_a_second()
{
    service_returns returns;
    for (milliseconds now{0}; now < seconds{5}; now += milliseconds{100}) {
        returns.note_begun(some_service, at(now));
    }
    return returns;
}

scheduling::return_request refused_caller()
{
    scheduling::return_request request;
    request.earliest = milliseconds{200};
    request.time_left = seconds{12};
    return request;
}

// Guards against reservations at a guessed rate, which keep capacity from new callers for nobody.
TEST(service_returns, without_a_measured_rate_nothing_is_reserved)
{
    service_returns returns;
    EXPECT_FALSE(returns.reserve(some_service, refused_caller(), at(seconds{5})));
    returns.note_begun(some_service, at(seconds{5}));
    EXPECT_FALSE(returns.reserve(some_service, refused_caller(), at(seconds{5})));
    EXPECT_EQ(returns.reserved_wait(some_service, seconds{1}, 0, at(seconds{5})), seconds{0});
}

// Guards against new callers that take the capacity which refused ones were told to return for.
TEST(service_returns, new_callers_wait_behind_the_returns_that_are_due_before)
{
    auto returns = with_ten_begins_a_second();
    const auto now = at(seconds{5});
    EXPECT_EQ(returns.reserved_wait(some_service, milliseconds{400}, 0, now), seconds{0});
    for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(returns.reserve(some_service, refused_caller(), now)->is_reserved);
    }
    const auto wait = returns.reserved_wait(some_service, milliseconds{400}, 0, now);
    EXPECT_GE(wait, milliseconds{200});
    EXPECT_LE(wait, milliseconds{400});
    EXPECT_EQ(returns.reserved_wait(service_name{"other"}, milliseconds{400}, 0, now), seconds{0});
    // Once the callers have returned, and when nothing begins any more.
    EXPECT_EQ(returns.reserved_wait(some_service, milliseconds{400}, 0, at(seconds{10})),
              seconds{0});
}

// Guards against idle targets that are kept for callers which may not come, and against requests
// that are refused although another region would take them.
TEST(service_returns, reservations_keep_requests_from_queues_only)
{
    region_request request;
    request.latency_objective = milliseconds{1000};
    request.time_left = seconds{5};
    request.reserved_wait = seconds{3};
    placement_choice idle;
    EXPECT_EQ(choose_region(idle, {}, request).kind, region_decision_kind::local);
    placement_choice busy;
    busy.wait = milliseconds{300};
    EXPECT_EQ(choose_region(busy, {}, request).kind, region_decision_kind::none);
    const remote_region other{region_name{"other"}, milliseconds{0}, milliseconds{100}, 5};
    EXPECT_EQ(choose_region(busy, {other}, request).kind, region_decision_kind::remote);
    request.reserved_wait = milliseconds{100};
    EXPECT_EQ(choose_region(busy, {}, request).kind, region_decision_kind::local);
}

} // namespace
} // namespace chicorylink::fleet
