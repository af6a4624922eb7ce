#include "chicorylink/scheduling/begin_meter.hpp"
#include "chicorylink/scheduling/return_slots.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

return_request caller(double per_second, milliseconds earliest, milliseconds time_left)
{
    return {per_second, earliest, time_left, 0, true};
}

// Guards against callers that are all refused at once, return at once and are refused again.
TEST(return_slots, callers_that_are_refused_together_return_at_the_rate)
{
    constexpr double per_second = 20;
    return_slots slots;
    std::vector<milliseconds> waits;
    for (int i = 0; i < 60; ++i) {
        const auto given = slots.reserve(caller(per_second, milliseconds{300}, seconds{15}),
                                         at(milliseconds{10'000 + i}));
        ASSERT_TRUE(given.is_reserved) << i;
        waits.push_back(given.wait + milliseconds{i});
    }
    std::sort(waits.begin(), waits.end());
    for (std::size_t i = 0; i < waits.size(); ++i) {
        EXPECT_GE(waits[i], milliseconds{300});
        // As soon as the rate allows, to a slot.
        const auto due = milliseconds{300} + milliseconds{static_cast<int>(i) * 50};
        EXPECT_NEAR(static_cast<double>(waits[i].count()), static_cast<double>(due.count()), 200);
    }
}

// Guards against places kept for callers that can't come: later callers would wait behind nobody.
TEST(return_slots, a_caller_that_cannot_wait_is_told_the_time_and_keeps_no_place)
{
    return_slots slots;
    const auto now = at(seconds{10});
    for (int i = 0; i < 20; ++i) {
        (void)slots.reserve(caller(10, milliseconds{0}, seconds{15}), now);
    }
    const auto late = slots.reserve(caller(10, milliseconds{0}, seconds{3}), now);
    EXPECT_FALSE(late.is_reserved);
    EXPECT_GE(late.wait, milliseconds{1900});
    auto second_refusal = caller(10, milliseconds{0}, seconds{15});
    second_refusal.may_return = false;
    EXPECT_FALSE(slots.reserve(second_refusal, now).is_reserved);
    EXPECT_EQ(slots.reserve(caller(10, milliseconds{0}, seconds{15}), now).reservations, 20U);
}

// Guards against state that grows with the number of refusals.
TEST(return_slots, reservations_are_bounded_and_expire_with_their_slots)
{
    return_slots slots;
    const auto now = at(seconds{10});
    int reserved = 0;
    for (int i = 0; i < 10'000; ++i) {
        reserved +=
            slots.reserve(caller(50, milliseconds{0}, seconds{60}), now).is_reserved ? 1 : 0;
    }
    EXPECT_LE(reserved, 50 * 10 + 10);
    EXPECT_GT(slots.due_within(seconds{1}, 0, now), 0U);
    EXPECT_EQ(slots.due_within(seconds{10}, 0, at(seconds{21})), 0U);
    EXPECT_EQ(slots.reserve(caller(50, milliseconds{0}, seconds{60}), at(seconds{21})).reservations,
              0U);
}

// Guards against urgent requests that are refused for the sake of less urgent returns.
TEST(return_slots, only_reservations_of_the_own_rank_or_a_more_urgent_one_count)
{
    return_slots slots;
    const auto now = at(seconds{10});
    auto request = caller(10, milliseconds{0}, seconds{15});
    request.rank = 6;
    (void)slots.reserve(request, now);
    EXPECT_EQ(slots.due_within(seconds{1}, 0, now), 0U);
    EXPECT_EQ(slots.due_within(seconds{1}, 6, now), 1U);
    EXPECT_EQ(slots.due_within(seconds{1}, 200, now), 1U);
}

TEST(begin_meter, tells_the_rate_of_the_last_seconds_only)
{
    begin_meter meter;
    EXPECT_FALSE(meter.per_second(at(seconds{10})));
    for (milliseconds now{10'000}; now < seconds{16}; now += milliseconds{50}) {
        meter.note(at(now));
    }
    ASSERT_TRUE(meter.per_second(at(seconds{16})));
    EXPECT_NEAR(*meter.per_second(at(seconds{16})), 20, 1.5);
    EXPECT_FALSE(meter.per_second(at(seconds{21})));
}

/// One service with a queue. Callers are refused if the queue is too long, and return once, at the
/// time that they are told.
struct overloaded_service {
    bool has_reservations = true;
    double per_second = 20;
    /// Arrivals of new callers, as a multiple of the rate.
    double load = 2;
    /// Whether callers return that are told a time which is too late for them; they can't be told
    /// from those with a reservation.
    bool late_ones_return = false;
    /// Callers that arrive at once in the sixth second.
    int crowd = 0;

    int returns = 0;
    int returns_refused = 0;
    int begun = 0;

    void run(milliseconds duration)
    {
        double due = 0;
        std::vector<milliseconds> returning;
        for (milliseconds now{0}; now < duration; now += milliseconds{1}) {
            m_queue_ms = std::max(0.0, m_queue_ms - 1);
            const auto first_later = std::partition(returning.begin(), returning.end(),
                                                    [&](milliseconds when) { return when > now; });
            for (auto i = first_later; i != returning.end(); ++i) {
                ++returns;
                returns_refused += arrive(now, true) ? 0 : 1;
            }
            returning.erase(first_later, returning.end());
            due += load * per_second / 1000 + (now == seconds{6} ? crowd : 0);
            for (; due >= 1; due -= 1) {
                const auto wait = arrive(now, false) ? std::nullopt : delay(now);
                if (wait) {
                    returning.push_back(now + *wait);
                }
            }
        }
    }

private:
    static constexpr double longest_new_ms = 425;
    static constexpr double longest_return_ms = 500;
    static constexpr milliseconds time_left{12'000};

    bool arrive(milliseconds now, bool is_return)
    {
        double limit = is_return ? longest_return_ms : longest_new_ms;
        const auto rate = m_begins.per_second(at(now));
        if (has_reservations && !is_return && rate) {
            const auto ahead =
                m_slots.due_within(milliseconds{static_cast<int>(longest_new_ms)}, 0, at(now));
            limit = std::max(0.0, limit - ahead / *rate * 1000);
        }
        if (m_queue_ms > limit) {
            return false;
        }
        m_queue_ms += 1000 / per_second;
        ++begun;
        m_begins.note(at(now));
        return true;
    }

    std::optional<milliseconds> delay(milliseconds now)
    {
        const milliseconds excess{
            std::max(150, static_cast<int>(std::ceil(m_queue_ms - longest_new_ms)))};
        const auto rate = m_begins.per_second(at(now));
        if (!has_reservations || !rate) {
            m_jitter = (m_jitter + 37) % 100;
            return excess + excess * m_jitter / 100;
        }
        const auto given = m_slots.reserve(caller(*rate, excess, time_left), at(now));
        if (given.is_reserved) {
            return given.wait;
        }
        return late_ones_return ? std::optional{std::min(given.wait, time_left / 3)} : std::nullopt;
    }

    double m_queue_ms = 0;
    int m_jitter = 0;
    begin_meter m_begins;
    return_slots m_slots;
};

// Guards against callers that return as told and are refused again because new ones took the
// capacity: 82% of all refusals for an excessive wait were of such callers.
TEST(return_slots, returns_find_capacity_beside_new_callers_at_twice_the_rate)
{
    for (const double load : {1.3, 2.0, 3.0}) {
        overloaded_service service;
        service.load = load;
        service.run(seconds{60});
        EXPECT_GT(service.returns, 0);
        EXPECT_LE(service.returns_refused, 0.1 * service.returns) << load;
        // No capacity is kept free for callers that don't come.
        EXPECT_GE(service.begun, 0.95 * 60 * service.per_second) << load;
        RecordProperty("load_" + std::to_string(static_cast<int>(load * 10)),
                       std::to_string(service.returns_refused) + "/" +
                           std::to_string(service.returns) + ", begun " +
                           std::to_string(service.begun));
    }
}

// Guards against reservations that make it worse when all callers return, also those whose time
// comes too late.
TEST(return_slots, no_more_returns_are_refused_when_late_callers_return_too)
{
    for (const double load : {1.3, 2.0, 3.0}) {
        overloaded_service before;
        before.has_reservations = false;
        before.load = load;
        before.run(seconds{60});
        overloaded_service service;
        service.load = load;
        service.late_ones_return = true;
        service.run(seconds{60});
        EXPECT_LT(service.returns_refused, before.returns_refused) << load;
        EXPECT_GE(service.begun, 0.97 * before.begun) << load;
        RecordProperty("load_" + std::to_string(static_cast<int>(load * 10)),
                       std::to_string(before.returns_refused) + "/" +
                           std::to_string(before.returns) + " before, " +
                           std::to_string(service.returns_refused) + "/" +
                           std::to_string(service.returns));
    }
}

// Guards against a crowd whose callers, refused in one moment, all return to be refused again.
TEST(return_slots, a_crowd_that_was_refused_is_served_when_it_returns)
{
    overloaded_service service;
    service.load = 0.8;
    service.crowd = 60;
    service.run(seconds{30});
    EXPECT_GT(service.returns, 40);
    EXPECT_LE(service.returns_refused, service.returns / 10);
}

} // namespace
} // namespace chicorylink::scheduling
