#include "chicorylink/base/sse_parser.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <string>
#include <string_view>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t head_limit = 4096;

message_parser request_parser()
{
    return {message_kind::request, head_limit, 1000};
}

parse_problem problem_of(std::string_view request)
{
    auto parser = request_parser();
    parser.feed(request);
    return parser.problem();
}

TEST(message_parser, parses_request_split_anywhere)
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
        EXPECT_EQ(parser.take_remaining(), "GET");
    }
}

TEST(message_parser, joins_chunked_body)
{
    auto parser = request_parser();
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abcde");
}

// Guards against bodies whose chunk extensions keep the parser busy without end.
TEST(message_parser, rejects_framing_that_outweighs_the_body)
{
    message_parser parser(message_kind::request, head_limit, 100'000);
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto chunk = "1;x=" + std::string(1000, 'y') + "\r\nz\r\n";
    int fed = 0;
    while (parser.problem() == parse_problem::none && fed < 100) {
        parser.feed(chunk);
        ++fed;
    }
    EXPECT_EQ(parser.problem(), parse_problem::malformed);
    EXPECT_LT(fed, 10);
}

// The same limit must not meet a body in chunks of one byte.
TEST(message_parser, joins_a_body_in_chunks_of_one_byte)
{
    message_parser parser(message_kind::request, head_limit, 100'000);
    parser.feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int count = 0; count < 100'000; ++count) {
        parser.feed("1\r\ny\r\n");
    }
    EXPECT_EQ(parser.problem(), parse_problem::none);
    EXPECT_GE(parser.held(), 100'000U);
    parser.feed("0\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body().size(), 100'000U);
}

TEST(message_parser, rejects_malformed_and_ambiguous_requests)
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

TEST(message_parser, enforces_size_limits)
{
    EXPECT_EQ(problem_of("GET / HTTP/1.1\r\nX: " + std::string(head_limit, 'x')),
              parse_problem::header_too_large);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"),
              parse_problem::body_too_large);
}

/// Feeds a piece repeatedly, like a sender that never stops, up to 1 MB.
parse_problem problem_of_unbounded(std::string_view begin, std::string_view piece)
{
    message_parser parser(message_kind::response, head_limit, std::nullopt);
    parser.feed(begin);
    constexpr std::size_t max_bytes = 1024UL * 1024;
    for (std::size_t fed = 0; fed < max_bytes && parser.problem() == parse_problem::none;
         fed += piece.size()) {
        parser.feed(piece);
        (void)parser.take_body();
    }
    return parser.problem();
}

TEST(message_parser, rejects_unbounded_input)
{
    constexpr std::string_view chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_NE(problem_of_unbounded("", "\r\n"), parse_problem::none);
    EXPECT_NE(problem_of_unbounded("HTTP/1.1 200 OK\r\n", "X: y\r\n"), parse_problem::none);
    EXPECT_NE(problem_of_unbounded("HTTP/1.1 200 OK\r\nX: ", "yyyyyyyy"), parse_problem::none);
    EXPECT_NE(problem_of_unbounded(chunked, "0"), parse_problem::none);
    EXPECT_NE(problem_of_unbounded(std::string{chunked} + "5;x=", "yyyyyyyy"), parse_problem::none);
    EXPECT_NE(problem_of_unbounded(std::string{chunked} + "0\r\n", "X: y\r\n"),
              parse_problem::none);
    EXPECT_NE(problem_of_unbounded(std::string{chunked} + "10000000000000000\r\n", "y"),
              parse_problem::none);
}

TEST(message_parser, skips_blank_lines_before_message)
{
    auto parser = request_parser();
    parser.feed("\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
}

TEST(message_parser, response_without_length_ends_with_connection)
{
    message_parser parser(message_kind::response, head_limit, std::nullopt);
    parser.feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nabc");
    EXPECT_FALSE(parser.is_complete());
    parser.feed_eof();
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abc");
}

parse_problem problem_of_response(std::string_view response)
{
    message_parser parser(message_kind::response, head_limit, std::nullopt);
    parser.feed(response);
    return parser.problem();
}

// Guards against a status that is none being taken for that of an interim response, behind which
// the caller would wait for another one.
TEST(message_parser, rejects_a_status_below_those_of_responses)
{
    for (const auto* status :
         {"000", "001", "099", "00", "0", "-10", "+20", "2000", "20", "", "2x0"}) {
        for (const auto* reason : {" OK", " ", ""}) {
            for (const auto* rest :
                 {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
                EXPECT_EQ(problem_of_response(
                              fmt::format("HTTP/1.1 {}{}\r\n{}\r\n", status, reason, rest)),
                          parse_problem::malformed)
                    << status << reason << rest;
            }
        }
    }
    for (const auto* status : {"100", "200", "204", "304", "404", "599"}) {
        EXPECT_EQ(problem_of_response(fmt::format("HTTP/1.1 {} OK\r\n\r\n", status)),
                  parse_problem::none)
            << status;
    }
}

// Guards against a line of a head that one parser takes for a field and another one doesn't, such
// as a length behind a control byte.
TEST(message_parser, rejects_a_field_name_that_is_no_token)
{
    constexpr std::string_view separators = "\"(),/;<=>?@[\\]{}";
    constexpr int byte_values = 256;
    constexpr int delete_byte = 127;
    const std::string name = "Content-Length";
    for (int value = 0; value < byte_values; ++value) {
        const auto byte = static_cast<char>(value);
        const bool is_token = value > ' ' && value < delete_byte && byte != ':' &&
                              separators.find(byte) == std::string_view::npos;
        if (byte == ':') {
            continue;
        }
        for (const std::size_t at : {std::size_t{0}, std::size_t{7}, name.size()}) {
            auto field = name + ": 2\r\n";
            field.insert(at, 1, byte);
            SCOPED_TRACE(fmt::format("byte {} at {}", value, at));
            const auto expected = is_token ? parse_problem::none : parse_problem::malformed;
            EXPECT_EQ(problem_of_response("HTTP/1.1 200 OK\r\n" + field + "\r\nok"), expected);
            EXPECT_EQ(problem_of_response("HTTP/1.1 200 OK\r\nX: y\r\n" + field + "\r\nok"),
                      expected);
            EXPECT_EQ(problem_of_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                          "2\r\nok\r\n0\r\n" +
                                          field + "\r\n"),
                      expected);
        }
    }
    for (const auto* line : {": y", " : y", "no colon", "X", "X: y\nZ: y", "X: y\rZ: y"}) {
        EXPECT_EQ(problem_of_response(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n\r\n", line)),
                  parse_problem::malformed)
            << line;
    }
}

TEST(message_parser, early_end_is_truncated)
{
    message_parser by_length(message_kind::response, head_limit, std::nullopt);
    by_length.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    by_length.feed_eof();
    EXPECT_EQ(by_length.problem(), parse_problem::truncated);
    message_parser in_chunks(message_kind::response, head_limit, std::nullopt);
    in_chunks.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    in_chunks.feed_eof();
    EXPECT_EQ(in_chunks.problem(), parse_problem::truncated);
}

} // namespace
} // namespace chicorylink::front
