// Random reservations, refunds and loans on one bucket. Guards against refunds or expired loans
// that let some interval exceed rate * t + burst; the checker tests every interval.
#include "chicorylink/budget/bucket.hpp"
#include "chicorylink/budget/settings.hpp"
#include "chicorylink/budget/testing/checker.hpp"

#include <random>

#include <gtest/gtest.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;
using testing::admitted;

constexpr std::int64_t rate = 100;
constexpr std::int64_t burst = 1'000;
const limits full_limits{to_micro(base::tokens{burst}), rate* micro_per_token};

/// Refunds as implemented, or a deliberately wrong refund that is bounded only by the cap.
enum class refund_rule { bounded_by_peaks, bounded_by_cap };

struct open_reservation {
    std::size_t event;
    micro_tokens taken;
    base::time_point at;
};

/// Spends from a bucket directly and through one borrower at random times.
class bucket_run {
public:
    bucket_run(std::uint64_t seed, refund_rule rule) : m_random(seed), m_rule(rule)
    {
        m_bucket.attach(full_limits, full_limits.cap, micro_tokens{0}, m_now, m_now);
    }

    double run()
    {
        constexpr int steps = 3'000;
        for (int step = 0; step < steps; ++step) {
            m_now += std::chrono::milliseconds(random_below(4) == 0 ? random_below(9'000)
                                                                    : random_below(200));
            if (m_lent_until <= m_now) {
                m_borrowed = micro_tokens{0};
            }
            random_step();
        }
        return testing::excess_within(m_events, rate, burst);
    }

private:
    std::int64_t random_below(std::int64_t below)
    {
        return static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }

    void random_step()
    {
        switch (random_below(6)) {
        case 0:
        case 1:
            reserve();
            break;
        case 2:
            settle();
            break;
        case 3:
            borrow();
            break;
        case 4:
            admit(std::exchange(m_borrowed, micro_tokens{0}));
            break;
        default:
            break;
        }
    }

    void admit(micro_tokens amount)
    {
        const std::chrono::duration<double> since = m_now.time_since_epoch();
        m_events.push_back({since.count(), static_cast<double>(amount.value()) / micro_per_token});
    }

    void reserve()
    {
        const auto taken = m_bucket.take(to_micro(base::tokens{1 + random_below(burst)}), m_now);
        admit(taken);
        m_open.push_back({m_events.size() - 1, taken, m_now});
    }

    void settle()
    {
        if (m_open.empty()) {
            return;
        }
        const auto index =
            static_cast<std::size_t>(random_below(static_cast<std::int64_t>(m_open.size())));
        const auto ended = m_open[index];
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        const micro_tokens used{random_below(2) == 0 ? 0 : random_below(ended.taken.value() + 1)};
        m_events[ended.event].tokens = static_cast<double>(used.value()) / micro_per_token;
        const auto at = m_rule == refund_rule::bounded_by_peaks ? ended.at : m_now;
        m_bucket.refund(ended.taken - used, at, m_now);
    }

    void borrow()
    {
        const process_id borrower{base::vm_id{1}, base::incarnation{1}};
        const auto until = m_now + 10s;
        const auto known = m_bucket.accept(borrower, {++m_request, m_borrowed, micro_tokens{0}},
                                           false, until, m_now);
        m_borrowed = std::min(m_borrowed, known->holding);
        m_borrowed += m_bucket.lend(borrower, to_micro(base::tokens{random_below(burst)}), m_now);
        m_lent_until = until;
    }

    std::mt19937_64 m_random;
    refund_rule m_rule;
    base::time_point m_now{1h};
    bucket m_bucket{m_now};
    std::vector<admitted> m_events;
    std::vector<open_reservation> m_open;
    micro_tokens m_borrowed;
    base::time_point m_lent_until{};
    std::uint64_t m_request = 0;
};

double worst_excess_of(refund_rule rule)
{
    double worst = -1e300;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        worst = std::max(worst, bucket_run(seed, rule).run());
    }
    return worst;
}

TEST(bucket, every_interval_stays_within_rate_and_burst)
{
    constexpr double rounding = 1e-3;
    EXPECT_LE(worst_excess_of(refund_rule::bounded_by_peaks), rounding);
}

TEST(bucket, the_checker_detects_refunds_bounded_only_by_the_cap)
{
    EXPECT_GT(worst_excess_of(refund_rule::bounded_by_cap), 1.0);
}

TEST(bucket, repeated_and_outdated_reports_are_not_served)
{
    const base::time_point now{1h};
    bucket lender{now};
    lender.attach(full_limits, full_limits.cap, micro_tokens{0}, now, now);
    const process_id borrower{base::vm_id{1}, base::incarnation{1}};
    EXPECT_TRUE(lender.accept(borrower, {2, {}, {}}, false, now + 10s, now).has_value());
    EXPECT_FALSE(lender.accept(borrower, {2, {}, {}}, false, now + 10s, now).has_value());
    EXPECT_FALSE(lender.accept(borrower, {1, {}, {}}, false, now + 10s, now).has_value());
}

TEST(bucket, a_lent_token_leaves_no_room_until_its_term_ends)
{
    const base::time_point now{1h};
    bucket lender{now};
    lender.attach(full_limits, full_limits.cap, micro_tokens{0}, now, now);
    const process_id borrower{base::vm_id{1}, base::incarnation{1}};
    ASSERT_TRUE(lender.accept(borrower, {1, {}, {}}, false, now + 10s, now).has_value());
    EXPECT_EQ(lender.lend(borrower, full_limits.cap, now), full_limits.cap);
    lender.mint(now + 9s);
    EXPECT_EQ(lender.balance(), micro_tokens{0});
    lender.mint(now + 11s);
    EXPECT_EQ(lender.balance(), to_micro(base::tokens{rate}));
}

TEST(checker, finds_two_bursts_that_one_bucket_would_not_allow)
{
    const std::vector<admitted> events{{0, 1'000}, {1, 101}};
    EXPECT_NEAR(testing::excess_within(events, rate, burst), 1, 1e-9);
    EXPECT_NEAR(testing::worst_excess(events, {{0, rate, burst}}), 1, 1e-9);
    EXPECT_LE(testing::excess_within({{0, 1'000}, {1, 100}}, rate, burst), 0);
}

TEST(checker, checks_each_phase_against_its_own_burst)
{
    const std::vector<admitted> events{{0, 1'000}, {20, 150}};
    EXPECT_NEAR(testing::worst_excess(events, {{0, rate, burst}, {10, rate, 100}}), 50, 1e-9);
}

} // namespace
} // namespace chicorylink::budget
