#include "chicorylink/fleet/limit_watch.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using test_support::at;

TEST(limit_watch, tells_of_a_broken_promise_once_a_window)
{
    limit_watch watch;
    int broken = 0;
    for (int number = 0; number < 22; ++number) {
        broken +=
            watch.note_sent(target_name{"t"}, 1, at(milliseconds{1000 + 100 * number})) ? 1 : 0;
    }
    // The 12th request within four seconds is one too many at a limit of one a second.
    EXPECT_EQ(broken, 1);
}

TEST(limit_watch, accepts_what_the_promise_allows)
{
    limit_watch watch;
    for (int number = 0; number < 100; ++number) {
        EXPECT_FALSE(watch.note_sent(target_name{"t"}, 1, at(milliseconds{400 * number})));
        EXPECT_FALSE(watch.note_sent(target_name{"fast"}, 20, at(milliseconds{400 * number})));
    }
}

} // namespace
} // namespace chicorylink::fleet
