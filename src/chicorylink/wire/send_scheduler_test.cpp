#include "chicorylink/wire/send_scheduler.hpp"

#include <map>

#include <gtest/gtest.h>

namespace chicorylink::wire {
namespace {

using bytes = std::vector<std::uint8_t>;
using content = outgoing_frame::content;

constexpr std::uint64_t large_credit = 1U << 30U;
constexpr stream_number first{1};
constexpr stream_number second{2};
constexpr stream_number third{3};

/// Takes all frames; returns the number of bytes of each stream.
std::map<stream_number, std::size_t> drain(send_scheduler& scheduler)
{
    std::map<stream_number, std::size_t> sent;
    while (const auto frame = scheduler.next()) {
        sent[frame->stream] += frame->bytes.size();
    }
    return sent;
}

TEST(send_scheduler, control_is_sent_before_streams)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, large_credit);
    scheduler.push_data(first, bytes(10));
    scheduler.push_control(bytes{1});
    EXPECT_EQ(scheduler.next()->type, content::encoded);
    EXPECT_EQ(scheduler.next()->stream, first);
}

TEST(send_scheduler, new_stream_is_sent_before_bulk)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, large_credit);
    scheduler.push_data(first, bytes(10 * send_scheduler::chunk_bytes));
    EXPECT_EQ(scheduler.next()->stream, first);
    EXPECT_EQ(scheduler.next()->stream, first);
    scheduler.add_stream(second, large_credit);
    scheduler.push_data(second, bytes(50));
    EXPECT_EQ(scheduler.next()->stream, second);
    EXPECT_EQ(scheduler.next()->stream, first);
}

TEST(send_scheduler, bulk_streams_take_turns)
{
    send_scheduler scheduler;
    for (const auto stream : {first, second, third}) {
        scheduler.add_stream(stream, large_credit);
        scheduler.push_data(stream, bytes(8 * send_scheduler::chunk_bytes));
    }
    std::map<stream_number, int> turns;
    for (int i = 0; i < 12; ++i) {
        ++turns[scheduler.next()->stream];
    }
    EXPECT_EQ(turns[first], 4);
    EXPECT_EQ(turns[second], 4);
    EXPECT_EQ(turns[third], 4);
}

TEST(send_scheduler, bulk_is_not_starved_by_urgent_frames)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, large_credit);
    scheduler.push_data(first, bytes(20 * send_scheduler::chunk_bytes));
    std::ignore = scheduler.next();
    scheduler.add_stream(second, large_credit);
    int bulk = 0;
    for (int i = 0; i < 100; ++i) {
        scheduler.push_data(second, bytes(10));
        bulk += scheduler.next()->stream == first ? 1 : 0;
    }
    EXPECT_GE(bulk, static_cast<int>(100 / (send_scheduler::urgent_run + 1)));
}

TEST(send_scheduler, large_control_message_is_sent_as_bulk)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, large_credit);
    scheduler.push_control(bytes(send_scheduler::chunk_bytes + 1));
    scheduler.push_data(first, bytes(10));
    EXPECT_EQ(scheduler.next()->stream, first);
    EXPECT_EQ(scheduler.next()->type, content::encoded);
    EXPECT_EQ(scheduler.control_bytes(), 0U);
}

TEST(send_scheduler, credit_bounds_what_is_sent_and_the_end_comes_last)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, 30);
    scheduler.add_stream(second, large_credit);
    scheduler.push_data(first, bytes(100));
    scheduler.push_end(first);
    scheduler.push_data(second, bytes(5));
    auto sent = drain(scheduler);
    EXPECT_EQ(sent[first], 30U);
    EXPECT_EQ(sent[second], 5U);
    scheduler.add_credit(first, 70);
    EXPECT_EQ(scheduler.next()->bytes.size(), 70U);
    EXPECT_EQ(scheduler.next()->type, content::end);
    EXPECT_FALSE(scheduler.next());
}

TEST(send_scheduler, dropped_stream_leaves_no_data)
{
    send_scheduler scheduler;
    scheduler.add_stream(first, large_credit);
    scheduler.push_data(first, bytes(100));
    scheduler.drop(first);
    EXPECT_EQ(scheduler.data_bytes(), 0U);
    EXPECT_FALSE(scheduler.next());
}

} // namespace
} // namespace chicorylink::wire
