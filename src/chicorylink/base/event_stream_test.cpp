#include "chicorylink/base/event_stream.hpp"

#include <gtest/gtest.h>

namespace chicorylink::base {
namespace {

TEST(event_stream, returns_whole_events_with_ids)
{
    event_stream events;
    events.feed("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c");
    const auto first = events.next();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->id, "1");
    EXPECT_EQ(first->bytes, "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.next()->id, "2");
    EXPECT_FALSE(events.next());
    EXPECT_TRUE(events.has_partial());
    events.feed("\n\n");
    EXPECT_EQ(events.next()->bytes, "data: c\n\n");
    EXPECT_FALSE(events.has_partial());
}

TEST(event_stream, detects_comment_only_events)
{
    event_stream events;
    events.feed(": ping\n\n:\r\n\r\n: note\ndata: a\n\nid: 7\n\n");
    EXPECT_TRUE(events.next()->is_comment);
    EXPECT_TRUE(events.next()->is_comment);
    EXPECT_FALSE(events.next()->is_comment);
    EXPECT_FALSE(events.next()->is_comment);
}

TEST(event_stream, unfinished_event_over_size_limit_overflows)
{
    event_stream events;
    events.feed(std::string(event_stream::max_event_bytes + 1, 'x'));
    EXPECT_FALSE(events.next());
    EXPECT_TRUE(events.overflowed());
}

} // namespace
} // namespace chicorylink::base
