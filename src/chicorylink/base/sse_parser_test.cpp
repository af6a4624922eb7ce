#include "chicorylink/base/sse_parser.hpp"

#include <gtest/gtest.h>

namespace chicorylink::base {
namespace {

TEST(sse_parser, returns_whole_events_with_ids)
{
    sse_parser events;
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

TEST(sse_parser, detects_comment_only_events)
{
    sse_parser events;
    events.feed(": ping\n\n:\r\n\r\n: note\ndata: a\n\nid: 7\n\n");
    EXPECT_TRUE(events.next()->is_comment);
    EXPECT_TRUE(events.next()->is_comment);
    EXPECT_FALSE(events.next()->is_comment);
    EXPECT_FALSE(events.next()->is_comment);
}

TEST(sse_parser, unfinished_event_over_size_limit_overflows)
{
    sse_parser events;
    events.feed(std::string(sse_parser::max_event_bytes + 1, 'x'));
    EXPECT_FALSE(events.next());
    EXPECT_TRUE(events.overflowed());
}

} // namespace
} // namespace chicorylink::base
