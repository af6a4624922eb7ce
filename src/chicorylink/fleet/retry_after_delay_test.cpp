#include "chicorylink/fleet/retry_after_delay.hpp"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers of a team beyond its quota were told two seconds although the next unit was free only in
// eight, so each of them was refused several times more.
TEST(retry_after_delay, is_never_shorter_than_the_known_wait)
{
    for (const auto wait : {milliseconds{300}, milliseconds{2500}, milliseconds{8000}}) {
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            EXPECT_GE(retry_after_delay(wait, retry_jitter::queue, seed), wait);
            EXPECT_LE(retry_after_delay(wait, retry_jitter::queue, seed), wait + seconds{2});
            EXPECT_LE(retry_after_delay(wait, retry_jitter::requested_wait, seed),
                      wait + milliseconds{500});
        }
    }
}

TEST(retry_after_delay, stays_within_its_bounds)
{
    EXPECT_GE(retry_after_delay(milliseconds{-40}, retry_jitter::queue, 0), min_retry_after);
    EXPECT_LE(retry_after_delay(seconds{100'000}, retry_jitter::queue, 99),
              max_retry_after + seconds{2});
}

// Callers that were refused at the same moment of a peak must not return as the same peak.
TEST(retry_after_delay, spreads_retries_of_callers_that_are_refused_together)
{
    constexpr milliseconds wait{1000};
    constexpr std::size_t slots = 10;
    std::array<int, slots> retries_per_slot{};
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        const auto jitter = retry_after_delay(wait, retry_jitter::queue, seed) - wait;
        ++retries_per_slot.at(static_cast<std::size_t>(jitter / (wait / slots)));
    }
    EXPECT_LE(*std::max_element(retries_per_slot.begin(), retries_per_slot.end()), 120);
}

} // namespace
} // namespace chicorylink::fleet
