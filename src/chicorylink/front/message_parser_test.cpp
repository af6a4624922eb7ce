#include "chicorylink/base/event_stream.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t head_limit = 4096;

message_parser request_parser()
{
    return {message_direction::request, head_limit, 1000};
}

parse_problem problem_of(std::string_view request)
{
    auto parser = request_parser();
    parser.feed(request);
    return parser.problem();
}

TEST(message_parser, reads_a_request_cut_at_any_place)
{
    const std::string bytes = "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 5\r\n"
                              "\r\nhelloGET";
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        auto parser = request_parser();
        parser.feed(std::string_view{bytes}.substr(0, cut));
        parser.feed(std::string_view{bytes}.substr(cut));
        ASSERT_TRUE(parser.is_complete()) << cut;
        EXPECT_EQ(parser.head().method, "POST");
        EXPECT_EQ(parser.head().target, "/a?b=c");
        EXPECT_EQ(*find_field(parser.head().fields, "x-one"), "1");
        EXPECT_EQ(parser.take_body(), "hello");
        EXPECT_EQ(parser.take_rest(), "GET");
    }
}

TEST(message_parser, joins_chunks)
{
    auto parser = request_parser();
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abcde");
}

TEST(message_parser, refuses_what_two_readers_could_read_differently)
{
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              parse_problem::malformed);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                         "Content-Length: 5\r\n\r\n0\r\n\r\n"),
              parse_problem::malformed);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                         "Content-Length: 6\r\n\r\nhello"),
              parse_problem::malformed);
    EXPECT_EQ(problem_of("GET / HTTP/1.1\r\nHost: h\r\nX-Folded: a\r\n b\r\n\r\n"),
              parse_problem::malformed);
    EXPECT_EQ(problem_of("GET / HTTP/1.1\r\nHost : h\r\n\r\n"), parse_problem::malformed);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"),
              parse_problem::malformed);
    EXPECT_EQ(problem_of("nonsense\r\n\r\n"), parse_problem::malformed);
}

TEST(message_parser, keeps_the_limits)
{
    EXPECT_EQ(problem_of("GET / HTTP/1.1\r\nX: " + std::string(head_limit, 'x')),
              parse_problem::header_too_large);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"),
              parse_problem::body_too_large);
}

/// Feeds a piece again and again, as a sender without end does, up to 1 MB.
parse_problem problem_of_endless(std::string_view begin, std::string_view piece)
{
    message_parser parser(message_direction::answer, head_limit, std::nullopt);
    parser.feed(begin);
    constexpr std::size_t most = 1024UL * 1024;
    for (std::size_t fed = 0; fed < most && parser.problem() == parse_problem::none;
         fed += piece.size()) {
        parser.feed(piece);
        (void)parser.take_body();
    }
    return parser.problem();
}

TEST(message_parser, bytes_without_end_that_are_no_message_are_refused)
{
    constexpr std::string_view chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_NE(problem_of_endless("", "\r\n"), parse_problem::none);
    EXPECT_NE(problem_of_endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"), parse_problem::none);
    EXPECT_NE(problem_of_endless("HTTP/1.1 200 OK\r\nX: ", "yyyyyyyy"), parse_problem::none);
    EXPECT_NE(problem_of_endless(chunked, "0"), parse_problem::none);
    EXPECT_NE(problem_of_endless(std::string{chunked} + "5;x=", "yyyyyyyy"), parse_problem::none);
    EXPECT_NE(problem_of_endless(std::string{chunked} + "0\r\n", "X: y\r\n"), parse_problem::none);
    EXPECT_NE(problem_of_endless(std::string{chunked} + "10000000000000000\r\n", "y"),
              parse_problem::none);
}

TEST(message_parser, a_blank_line_or_two_before_a_message_are_passed_over)
{
    auto parser = request_parser();
    parser.feed("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
}

TEST(message_parser, an_answer_without_a_length_ends_with_its_connection)
{
    message_parser parser(message_direction::answer, head_limit, std::nullopt);
    parser.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc");
    EXPECT_FALSE(parser.is_complete());
    parser.feed_end();
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abc");
}

TEST(message_parser, an_answer_that_ends_early_is_truncated)
{
    message_parser by_length(message_direction::answer, head_limit, std::nullopt);
    by_length.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    by_length.feed_end();
    EXPECT_EQ(by_length.problem(), parse_problem::truncated);
    message_parser in_chunks(message_direction::answer, head_limit, std::nullopt);
    in_chunks.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    in_chunks.feed_end();
    EXPECT_EQ(in_chunks.problem(), parse_problem::truncated);
}

} // namespace
} // namespace chicorylink::front
