#include "chicorylink/fleet/return_time.hpp"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers of a team beyond its quota were told two seconds although the next unit was free only in
// eight, so each of them was refused several times more.
TEST(return_time, is_never_shorter_than_the_known_wait)
{
    for (const auto wait : {milliseconds{300}, milliseconds{2500}, milliseconds{8000}}) {
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            EXPECT_GE(return_time(wait, return_spread::queue, seed), wait);
            EXPECT_LE(return_time(wait, return_spread::queue, seed), wait + seconds{2});
            EXPECT_LE(return_time(wait, return_spread::asked, seed), wait + milliseconds{500});
        }
    }
}

TEST(return_time, stays_within_its_bounds)
{
    EXPECT_GE(return_time(milliseconds{-40}, return_spread::queue, 0), shortest_return);
    EXPECT_LE(return_time(seconds{100'000}, return_spread::queue, 99), longest_return + seconds{2});
}

// Callers that were refused at the same moment of a peak must not return as the same peak.
TEST(return_time, spreads_retries_of_callers_that_are_refused_together)
{
    constexpr milliseconds wait{1000};
    constexpr std::size_t slots = 10;
    std::array<int, slots> retries_per_slot{};
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        const auto jitter = return_time(wait, return_spread::queue, seed) - wait;
        ++retries_per_slot.at(static_cast<std::size_t>(jitter / (wait / slots)));
    }
    EXPECT_LE(*std::max_element(retries_per_slot.begin(), retries_per_slot.end()), 120);
}

} // namespace
} // namespace chicorylink::fleet
