// Checks what a caller gets when a response has begun, broke off and another target answers.

#include "scripted_vm.hpp"

#include <chrono>
#include <map>
#include <mutex>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;
using script = scripted_target::script;

constexpr const char* event_stream = "Content-Type: text/event-stream\r\n";
constexpr const char* chunked_events =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
constexpr const char* last_chunk = "0\r\n\r\n";

std::string event(int number)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", number, number);
}

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += event(number);
    }
    return text;
}

/// Sends the first two events and breaks off within the third.
bool begin_stream(http_exchange& exchange)
{
    return exchange.send(exchange.head(chunked_events) + http_exchange::chunk(events(1, 2))) &&
           exchange.pause(milliseconds{20}) && exchange.send(http_exchange::chunk("id: 3\nda")) &&
           false;
}

script raw(std::string bytes)
{
    return [bytes = std::move(bytes)](http_exchange& exchange) {
        return exchange.send(bytes) && false;
    };
}

/// Sends a complete response with the request's id and a stamp.
script respond(int status, const std::string& body, const std::string& fields = {})
{
    return [=](http_exchange& exchange) {
        return exchange.send(exchange.response(body, fields, status));
    };
}

/// Sends a response with the request's id and a stamp and closes the connection behind it.
script respond_and_close(int status, const std::string& body, const std::string& fields = {})
{
    return [=](http_exchange& exchange) {
        return exchange.send(exchange.head(fields, status) + body) && false;
    };
}

class continued_stream : public scripted_vm {
protected:
    continued_stream() : scripted_vm("127.0.10.1") {}

    /// Publishes two targets. The first request with an id gets the first response, each repeat the
    /// second.
    void start_targets()
    {
        const auto by_turn = [this](http_exchange& exchange) {
            script chosen;
            {
                const std::lock_guard lock(m_mutex);
                chosen = m_turns[exchange.id()]++ == 0 ? m_first : m_next;
            }
            return chosen(exchange);
        };
        serve(by_turn);
        serve(by_turn);
        start();
    }

    /// @return What the caller got.
    reply send_through(const std::string& path, script first, script next)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_first = std::move(first);
            m_next = std::move(next);
        }
        const auto id = fmt::format("id-{}", ++m_requests);
        auto result = send_request(path, id);
        m_last_id = id;
        // A success lets the targets be chosen again.
        {
            const std::lock_guard lock(m_mutex);
            m_first = respond(200, "ok");
        }
        (void)send_request("/unsafe/x", id + "-after-a");
        (void)send_request("/unsafe/x", id + "-after-b");
        return result;
    }

    /// A stream that began must not look complete, and nothing may follow its events.
    void expect_cut(script next)
    {
        const auto result = send_through("/stream/x", begin_stream, std::move(next));
        EXPECT_EQ(result.status, 200);
        EXPECT_FALSE(result.complete);
        EXPECT_EQ(result.body, events(1, 2));
        // A target that was slow to read its request counts it late.
        EXPECT_TRUE(wait_until([this] { return sends() >= 2; }, seconds{4}));
    }

    /// The number of requests that the targets got for the latest caller.
    [[nodiscard]] int sends() const
    {
        return m_targets[0]->request_count(m_last_id) + m_targets[1]->request_count(m_last_id);
    }

private:
    std::mutex m_mutex;
    script m_first;
    script m_next;
    std::map<std::string, int> m_turns;
    int m_requests = 0;
    std::string m_last_id;
};

// Guards against an error response in the middle of a stream.
TEST_F(continued_stream, an_error_is_no_continuation)
{
    start_targets();
    for (const int status : {400, 404, 429, 500, 502, 503, 504}) {
        SCOPED_TRACE(status);
        expect_cut(respond(status, "failed\n\n", event_stream));
        expect_cut(respond_and_close(status, "failed\n\n"));
        expect_cut(
            respond_and_close(status, http_exchange::chunk(event(3)) + last_chunk, chunked_events));
    }
}

// Guards against responses without a stamp or an id in the middle of a stream.
TEST_F(continued_stream, a_response_that_is_no_target_s_is_no_continuation)
{
    start_targets();
    for (const auto* status : {"200 OK", "404 Not Found", "502 Bad Gateway"}) {
        SCOPED_TRACE(status);
        expect_cut(raw(fmt::format("HTTP/1.1 {}\r\n{}Content-Length: 8\r\n\r\nfailed\n\n", status,
                                   event_stream)));
        expect_cut(raw(fmt::format("HTTP/1.1 {}\r\n\r\nfailed\n\n", status)));
    }
    expect_cut(raw("HTTP/1.1 200 OK\r\nContent-Type: text/ev"));
    expect_cut(raw("failed\n\n"));
}

// Guards against rejections in the middle of a stream.
TEST_F(continued_stream, a_rejection_is_no_continuation)
{
    start_targets();
    // The last status makes the target unusable.
    for (const int status : {400, 429, 503, 421}) {
        SCOPED_TRACE(status);
        expect_cut(respond(status, "full\n\n", "X-Chicorylink-Not-Run: 1\r\n"));
    }
}

// Guards against a stream that looks complete although its continuation is no stream.
TEST_F(continued_stream, a_response_that_is_no_stream_is_no_continuation)
{
    start_targets();
    expect_cut(respond(204, "", event_stream));
    expect_cut(respond(304, "", event_stream));
    expect_cut(respond(302, "", "Location: /elsewhere\r\n"));
    expect_cut(respond(206, event(3), event_stream));
    expect_cut(respond(200, "the target is overloaded\n\n", "Content-Type: text/plain\r\n"));
    expect_cut(respond(200, "", "Content-Type: text/plain\r\n"));
    expect_cut(respond(200, event(3), "Content-Type: application/json\r\n"));
    expect_cut(respond(200, event(3)));
}

// Guards against an error that a target writes as an event of its own.
TEST_F(continued_stream, an_event_without_id_is_no_continuation)
{
    start_targets();
    expect_cut(respond(200, "event: error\ndata: overloaded\n\n", event_stream));
    expect_cut(respond_and_close(200, "HTTP/1.1 502 Bad Gateway\r\nServer: a\r\n\r\nfailed",
                                 event_stream));
}

// Guards against events that come twice because the next target starts from the first one.
TEST_F(continued_stream, a_stream_that_starts_over_is_no_continuation)
{
    start_targets();
    expect_cut(respond(200, events(1, 4), event_stream));
    expect_cut(respond(200, events(2, 4), event_stream));
}

// Guards against a stream that looks complete although the connection of its continuation closed
// before the first event.
TEST_F(continued_stream, a_connection_that_closes_without_an_event_is_no_end)
{
    start_targets();
    expect_cut(respond_and_close(200, "", event_stream));
    expect_cut(respond_and_close(200, ": comment\n\n", event_stream));
    const auto result = send_through("/stream/x", respond_and_close(200, "", event_stream),
                                     respond(200, events(1, 2), event_stream));
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, events(1, 2));
}

// Guards against a check of continuations that refuses proper ones.
TEST_F(continued_stream, a_proper_continuation_is_passed_on)
{
    start_targets();
    const std::vector<script> continuations{
        respond(200, events(3, 4), event_stream),
        respond(200, events(3, 4), "Content-Type: Text/Event-Stream; charset=utf-8\r\n"),
        respond_and_close(200, events(3, 4), event_stream),
        respond_and_close(200, http_exchange::chunk(events(3, 4)) + last_chunk, chunked_events)};
    for (const auto& next : continuations) {
        const auto result = send_through("/stream/x", begin_stream, next);
        EXPECT_TRUE(result.complete);
        EXPECT_EQ(result.body, events(1, 4));
        EXPECT_EQ(sends(), 2);
    }
    // The first target may have sent all events but not the end.
    const auto ended = send_through("/stream/x", begin_stream, respond(200, "", event_stream));
    EXPECT_TRUE(ended.complete);
    EXPECT_EQ(ended.body, events(1, 2));
}

// Guards against events that come twice: without ids, a target can't be told where to go on.
TEST_F(continued_stream, a_stream_without_ids_is_not_continued)
{
    start_targets();
    const auto first = respond_and_close(200, "data: a\n\ndata: b", event_stream);
    const auto result =
        send_through("/stream/x", first, respond(200, "data: a\n\ndata: b\n\n", event_stream));
    EXPECT_FALSE(result.complete);
    EXPECT_EQ(result.body, "data: a\n\n");
    EXPECT_EQ(sends(), 1);
}

// Guards against a stream without a length that looks complete although it broke off.
TEST_F(continued_stream, a_stream_without_length_that_ends_within_an_event_goes_on)
{
    start_targets();
    const auto broken =
        send_through("/stream/x", respond_and_close(200, events(1, 2) + "id: 3\nda", event_stream),
                     respond_and_close(200, events(3, 4), event_stream));
    EXPECT_TRUE(broken.complete);
    EXPECT_EQ(broken.body, events(1, 4));
    const auto complete = send_through(
        "/stream/x", respond_and_close(200, events(1, 2), event_stream), respond(500, "failed"));
    EXPECT_TRUE(complete.complete);
    EXPECT_EQ(complete.body, events(1, 2));
    EXPECT_EQ(sends(), 1);
}

// Guards against a second response behind the begun part of one that is no stream.
TEST_F(continued_stream, nothing_follows_a_large_response_that_broke_off)
{
    start_targets();
    const std::string part(400UL * 1024, 'a');
    const std::string whole(500UL * 1024, 'b');
    const auto next = respond(200, whole);
    for (const auto* path : {"/safe/x", "/unsafe/x"}) {
        for (const std::string fields :
             {"Content-Length: 500000\r\n", "Transfer-Encoding: chunked\r\n"}) {
            for (const int status : {200, 500}) {
                SCOPED_TRACE(fmt::format("{} {} {}", path, fields, status));
                const auto body =
                    fields.starts_with("Transfer") ? http_exchange::chunk(part) : part;
                const auto result =
                    send_through(path, respond_and_close(status, body, fields), next);
                EXPECT_FALSE(result.complete);
                EXPECT_EQ(result.body.find('b'), std::string::npos);
                EXPECT_EQ(sends(), 1);
            }
        }
    }
    // An error response on a route with streams.
    const auto result =
        send_through("/stream/x", respond_and_close(500, part, "Content-Length: 500000\r\n"),
                     respond(200, events(1, 2), event_stream));
    EXPECT_FALSE(result.complete);
    EXPECT_EQ(result.body.find("piece"), std::string::npos);
}

} // namespace
} // namespace chicorylink::process_tests
