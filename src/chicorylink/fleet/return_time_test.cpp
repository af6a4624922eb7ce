#include "chicorylink/fleet/return_time.hpp"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A team beyond its quota: its callers were told two seconds although the next unit was free in
// eight, so each of them was refused several times more.
TEST(return_time, is_never_before_the_wait_that_is_known)
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

// Callers that a peak refused at the same moment do not come back as the same peak.
TEST(return_time, callers_that_are_refused_together_return_spread)
{
    constexpr milliseconds wait{1000};
    constexpr std::size_t slots = 10;
    std::array<int, slots> returning{};
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        const auto after = return_time(wait, return_spread::queue, seed) - wait;
        ++returning.at(static_cast<std::size_t>(after / (wait / slots)));
    }
    EXPECT_LE(*std::max_element(returning.begin(), returning.end()), 120);
}

} // namespace
} // namespace chicorylink::fleet
