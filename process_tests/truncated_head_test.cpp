// Checks what a caller gets when a target stops within the head of its response and the connection
// ends, through the VM of the target's region and through a VM of another region.

#include "two_region_targets.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* west_vm = "127.0.15.1";
constexpr const char* east_vm = "127.0.15.2";

constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr const char* event_stream = "Content-Type: text/event-stream\r\n";
constexpr const char* in_chunks = "Transfer-Encoding: chunked\r\n";
constexpr const char* last_chunk = "0\r\n\r\n";
constexpr const char* interim = "HTTP/1.1 102 Processing\r\nX-Queue: 4\r\n\r\n";

/// How a target ends a connection.
enum class ending : std::uint8_t { close, half_close, reset };

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += fmt::format("id: {}\ndata: piece {}\n\n", number, number);
    }
    return text;
}

/// How a response says where its body ends.
enum class framing : std::uint8_t { length, chunks, connection };

std::string response_to(const http_exchange& exchange, framing form, std::string_view body,
                        const std::string& fields = {})
{
    switch (form) {
    case framing::length:
        return exchange.response(std::string{body}, fields);
    case framing::chunks:
        return exchange.head(fields + in_chunks) + http_exchange::chunk(body) + last_chunk;
    case framing::connection:
        break;
    }
    return exchange.head(fields) + std::string{body};
}

/// Where a response breaks off.
struct cut {
    /// Bytes of its head that are sent; past its end there are none.
    std::size_t size = 0;
    ending end = ending::close;
    /// What comes before the head.
    std::string before = {};
};

/// Sends the begin of a response and ends the connection.
bool send_cut(http_exchange& exchange, const cut& at, const std::string& response)
{
    const bool is_connected = exchange.send(at.before + response.substr(0, at.size));
    if (is_connected && at.end == ending::half_close) {
        exchange.half_close(seconds{2});
    }
    else if (is_connected && at.end == ending::reset) {
        exchange.reset();
    }
    return false;
}

bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

class truncated_head : public two_region_targets {
protected:
    truncated_head() : two_region_targets("chicorylink_truncated_head", west_vm, east_vm) {}
};

/// A size for each part of a head in which it can break off, and some between them.
std::vector<std::size_t> sizes_within_head(std::string_view response)
{
    const auto head = response.substr(0, response.find(end_of_head) + end_of_head.size());
    std::vector<std::size_t> sizes;
    for (std::size_t size = 0; size < head.size(); size += 9) {
        sizes.push_back(size);
    }
    for (std::size_t at = head.find('\r'); at != std::string_view::npos;
         at = head.find('\r', at + 1)) {
        sizes.push_back(at);
        sizes.push_back(at + 1);
        sizes.push_back(at + 2);
    }
    std::erase(sizes, head.size());
    return sizes;
}

// Guards against a head that broke off being passed on as a complete response, and against a
// request that may have run being refused or run again.
TEST_F(truncated_head, is_no_response_to_a_request_that_may_run_once)
{
    start(1);
    for (const auto* ip : {west_vm, east_vm}) {
        for (const auto form : {framing::length, framing::chunks, framing::connection}) {
            for (const auto end : {ending::close, ending::half_close, ending::reset}) {
                std::size_t turn = 0;
                std::atomic<bool> is_last{false};
                while (!is_last) {
                    const bool is_kept = turn % 2 == 0;
                    succeed(ip, is_kept);
                    const auto result = send(
                        ip, "/unsafe/x",
                        [&](http_exchange& exchange) {
                            const auto response = response_to(exchange, form, whole_body);
                            const auto sizes = sizes_within_head(response);
                            is_last = turn + 1 == sizes.size();
                            return send_cut(exchange,
                                            {sizes[turn], end, turn % 3 == 0 ? interim : ""},
                                            response);
                        },
                        serve_whole());
                    SCOPED_TRACE(fmt::format("at {}, framing {}, ending {}, turn {}", ip,
                                             static_cast<int>(form), static_cast<int>(end), turn));
                    ASSERT_EQ(result.status, 502);
                    ASSERT_TRUE(result.complete);
                    ASSERT_EQ(sends(), 1);
                    ++turn;
                }
            }
        }
    }
}

// Guards against a head that broke off being passed on where the request may run again.
TEST_F(truncated_head, is_no_response_to_a_request_that_may_run_again)
{
    start(many_targets);
    const std::vector<cut> cuts{{0},
                                {11},
                                {17, ending::half_close},
                                {60, ending::reset},
                                {95, ending::close, interim},
                                {100, ending::half_close}};
    for (const auto& at : cuts) {
        for (const auto form : {framing::length, framing::chunks}) {
            SCOPED_TRACE(fmt::format("{} bytes, ending {}, framing {}", at.size,
                                     static_cast<int>(at.end), static_cast<int>(form)));
            const auto cut_whole = [&](http_exchange& exchange) {
                return send_cut(exchange, at, response_to(exchange, form, whole_body));
            };
            const auto retried = send(west_vm, "/safe/x", cut_whole, serve_whole());
            EXPECT_EQ(retried.status, 200);
            EXPECT_EQ(retried.body, whole_body);
            EXPECT_EQ(sends(), 2);
            // A request of another region's VM goes to one target of this region only.
            const auto failed = send(east_vm, "/safe/x", cut_whole, serve_whole());
            EXPECT_EQ(failed.status, 502);
            EXPECT_EQ(sends(), 1);
        }
    }
}

// Guards against an empty success that looks complete although its connection closed behind the
// head, where nothing but the close ends the body.
TEST_F(truncated_head, without_a_body_that_ends_with_the_connection_is_no_response)
{
    start(many_targets);
    const auto close_behind_head = [](http_exchange& exchange) {
        return exchange.send(response_to(exchange, framing::connection, "")) && false;
    };
    const auto retried = send(west_vm, "/safe/x", close_behind_head, serve_whole());
    EXPECT_EQ(retried.status, 200);
    EXPECT_EQ(retried.body, whole_body);
    EXPECT_EQ(sends(), 2);
    for (const auto* ip : {west_vm, east_vm}) {
        SCOPED_TRACE(ip);
        EXPECT_EQ(send(ip, "/unsafe/x", close_behind_head, serve_whole()).status, 502);
        EXPECT_EQ(sends(), 1);
    }
}

// Guards against a check of truncated responses that rejects whole ones.
TEST_F(truncated_head, of_a_whole_response_is_passed_on)
{
    start(1);
    const auto respond = [](const std::string& head_fields, const std::string& body, int status) {
        return [=](http_exchange& exchange) {
            return exchange.send(exchange.head(head_fields, status) + body) && false;
        };
    };
    for (const auto* ip : {west_vm, east_vm}) {
        SCOPED_TRACE(ip);
        const auto large = std::string(600UL * 1024, 'a');
        for (const auto& body : {std::string{whole_body}, large}) {
            const auto to_end = respond("", body, 200);
            const auto result = send(ip, "/unsafe/x", to_end, to_end);
            EXPECT_EQ(result.status, 200);
            EXPECT_TRUE(result.complete);
            EXPECT_EQ(result.body, body);
        }
        for (const auto& empty :
             {respond("Content-Length: 0\r\n", "", 200), respond(in_chunks, last_chunk, 200),
              respond("", "", 204), respond("", "", 404)}) {
            const auto result = send(ip, "/unsafe/x", empty, empty);
            EXPECT_TRUE(result.status == 200 || result.status == 204 || result.status == 404)
                << result.status;
            EXPECT_TRUE(result.complete);
            EXPECT_EQ(result.body, "");
        }
    }
}

// Guards against a stream that looks complete although the head of its response, or of its
// continuation, broke off.
TEST_F(truncated_head, is_no_stream_and_no_end_of_one)
{
    start(many_targets);
    const auto begin = [](http_exchange& exchange) {
        return exchange.send(exchange.head(std::string{event_stream} + in_chunks) +
                             http_exchange::chunk(events(1, 2))) &&
               exchange.pause(milliseconds{20}) &&
               exchange.send(http_exchange::chunk("id: 3\nda")) && false;
    };
    const auto whole = [](http_exchange& exchange) {
        return exchange.send(response_to(exchange, framing::chunks, events(1, 4), event_stream));
    };
    // Few, because a service has a budget of repeats.
    const std::vector<std::pair<framing, cut>> cases{
        {framing::length, {0}},      {framing::chunks, {17, ending::reset}},
        {framing::connection, {60}}, {framing::length, {95, ending::half_close, interim}},
        {framing::chunks, {100}},    {framing::connection, {100, ending::reset}}};
    for (const auto& [form, at] : cases) {
        SCOPED_TRACE(fmt::format("{} bytes, ending {}, framing {}", at.size,
                                 static_cast<int>(at.end), static_cast<int>(form)));
        const auto cut_stream = [&at = at, form = form](http_exchange& exchange) {
            return send_cut(exchange, at, response_to(exchange, form, events(3, 4), event_stream));
        };
        const auto restarted = send(west_vm, "/stream/x", cut_stream, whole);
        EXPECT_TRUE(restarted.complete);
        EXPECT_EQ(restarted.body, events(1, 4));
        const auto continued = send(west_vm, "/stream/x", begin, cut_stream);
        EXPECT_EQ(continued.status, 200);
        EXPECT_FALSE(continued.complete);
        EXPECT_EQ(continued.body, events(1, 2));
        EXPECT_EQ(sends(), 2);
        const auto failed = send(east_vm, "/stream/x", cut_stream, whole);
        EXPECT_FALSE(promises_not_run(failed.status)) << failed.status;
        EXPECT_EQ(failed.body.find("piece"), std::string::npos);
        EXPECT_EQ(sends(), 1);
    }
}

} // namespace
} // namespace chicorylink::process_tests
