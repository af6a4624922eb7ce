#include "chicorylink/base/sse_parser.hpp"

#include <chrono>
#include <string>

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

/// Feeds text in pieces and returns how many events it holds.
std::size_t count_events(const std::string& text, std::size_t piece_bytes)
{
    sse_parser parser;
    std::size_t count = 0;
    for (std::size_t at = 0; at < text.size(); at += piece_bytes) {
        parser.feed(std::string_view{text}.substr(at, piece_bytes));
        while (parser.next()) {
            ++count;
        }
    }
    return count;
}

/// Many times what a linear search takes, and far less than a quadratic one.
constexpr std::chrono::seconds search_bound{3};

// Guards against a search that reads all buffered text again for each event: streams of small
// events then take the process's whole time.
TEST(sse_parser, takes_time_in_proportion_to_the_text_of_small_events)
{
    for (const std::string event : {"data: y\n\n", "data: y\r\n\r\n"}) {
        constexpr std::size_t events = 500'000;
        std::string text;
        for (std::size_t number = 0; number < events; ++number) {
            text += event;
        }
        const auto begin = std::chrono::steady_clock::now();
        EXPECT_EQ(count_events(text, text.size()), events);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, search_bound);
    }
}

// Guards against a search that reads an unfinished event again with each piece of it.
TEST(sse_parser, takes_time_in_proportion_to_an_event_in_small_pieces)
{
    const auto text = "data: " + std::string(sse_parser::max_event_bytes - 8, 'y') + "\n\n";
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(count_events(text, 1), 1U);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, search_bound);
}

// An event's end that arrives in two pieces is found at each place of the cut.
TEST(sse_parser, finds_an_end_that_arrives_in_pieces)
{
    for (const std::string text : {"data: a\n\ndata: b\n\n", "data: a\r\n\r\ndata: b\r\n\r\n"}) {
        for (std::size_t bytes = 1; bytes <= text.size(); ++bytes) {
            EXPECT_EQ(count_events(text, bytes), 2U) << bytes;
        }
    }
}

} // namespace
} // namespace chicorylink::base
