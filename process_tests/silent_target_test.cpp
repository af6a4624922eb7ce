// Targets that send nothing for a while: a sound one goes on, a dead one never does.

#include "scripted_vm.hpp"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

/// Longer than the silence after which a VM looks for another target, shorter than the deadline.
constexpr milliseconds silence{1900};

constexpr int event_count = 6;
/// The silent target falls silent after this event.
constexpr int last_event_before_silence = 3;

std::string event(int number)
{
    return http_exchange::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

bool send_stream_head(http_exchange& exchange)
{
    return exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
}

bool send_events(http_exchange& exchange, int from, int to)
{
    for (int number = from; number <= to; ++number) {
        if (!exchange.send(event(number))) {
            return false;
        }
    }
    return true;
}

bool send_rejection(http_exchange& exchange)
{
    return exchange.send(
        fmt::format("HTTP/1.1 503 Service Unavailable\r\nX-Chicorylink-Request-Id: {}\r\n"
                    "X-Chicorylink-Not-Run: full\r\nContent-Length: 0\r\n\r\n",
                    exchange.id()));
}

std::string all_events()
{
    std::string body;
    for (int number = 1; number <= event_count; ++number) {
        body += fmt::format("id: {}\ndata: {}\n\n", number, number);
    }
    return body;
}

class silent_target : public scripted_vm {
protected:
    silent_target() : scripted_vm("127.0.7.1") {}

    /// Starts a VM before two targets. The one that gets the stream first falls silent in its
    /// middle; the other one responds as `respond_elsewhere` says.
    void start_with_silent_stream(const scripted_target::script& respond_elsewhere,
                                  milliseconds silent_time = silence)
    {
        const auto script = [this, respond_elsewhere, silent_time](http_exchange& exchange) {
            if (m_stream_count++ > 0) {
                return respond_elsewhere(exchange);
            }
            const bool has_resumed = send_stream_head(exchange) &&
                                     send_events(exchange, 1, last_event_before_silence) &&
                                     exchange.pause(silent_time);
            m_was_abandoned = !has_resumed;
            return has_resumed &&
                   send_events(exchange, last_event_before_silence + 1, event_count) &&
                   exchange.send("0\r\n\r\n");
        };
        serve(script);
        serve(script);
        start();
    }

    void expect_whole_stream()
    {
        const auto result = send_request("/stream/x", "id-1");
        EXPECT_EQ(result.status, 200);
        EXPECT_TRUE(result.complete);
        EXPECT_EQ(result.body, all_events());
    }

    std::atomic<int> m_stream_count{0};
    std::atomic<bool> m_was_abandoned{false};
};

// Guards against a stream that is reset because its target was given up for its silence before
// another one had accepted the stream.
TEST_F(silent_target, keeps_its_stream_when_the_other_target_rejects_it)
{
    start_with_silent_stream(send_rejection);
    expect_whole_stream();
    EXPECT_FALSE(m_was_abandoned);
}

// The same for a target that fails or closes the connection instead of rejecting the stream.
TEST_F(silent_target, keeps_its_stream_when_the_other_target_fails)
{
    start_with_silent_stream([](http_exchange& exchange) {
        return exchange.send(exchange.response("out of memory", "", 500));
    });
    expect_whole_stream();
    EXPECT_FALSE(m_was_abandoned);
}

TEST_F(silent_target, keeps_its_stream_when_the_other_target_closes_the_connection)
{
    start_with_silent_stream([](http_exchange& exchange) {
        (void)send_stream_head(exchange);
        return false;
    });
    expect_whole_stream();
    EXPECT_FALSE(m_was_abandoned);
}

// Guards against a stream of which events come twice, or that waits for a second target although
// the first one went on.
TEST_F(silent_target, goes_on_before_the_other_target_has_begun)
{
    std::atomic<bool> other_was_abandoned{false};
    start_with_silent_stream([&](http_exchange& exchange) {
        // Still reads the prompt when the silent target goes on.
        other_was_abandoned = !exchange.pause(milliseconds{2900});
        return !other_was_abandoned && send_stream_head(exchange) &&
               send_events(exchange, last_event_before_silence + 1, event_count) &&
               exchange.send("0\r\n\r\n");
    });
    const auto begin = std::chrono::steady_clock::now();
    expect_whole_stream();
    EXPECT_LT(std::chrono::steady_clock::now() - begin, silence + milliseconds{600});
    EXPECT_FALSE(m_was_abandoned);
    EXPECT_TRUE(wait_until([&] { return other_was_abandoned.load(); }, seconds{1}));
}

// The same for a request whose response doesn't come in parts.
TEST_F(silent_target, keeps_its_plain_request_when_the_other_target_rejects_it)
{
    std::atomic<int> count{0};
    const auto script = [&](http_exchange& exchange) {
        if (count++ > 0) {
            return send_rejection(exchange);
        }
        return exchange.pause(silence) && exchange.send(exchange.response("done"));
    };
    serve(script);
    serve(script);
    start();
    const auto result = send_request("/safe/x", "id-1");
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "done");
}

// Guards against a silent target that breaks off and takes the response of the other one with it.
TEST_F(silent_target, breaks_off_while_the_other_target_serves_its_stream)
{
    const auto script = [this](http_exchange& exchange) {
        if (m_stream_count++ == 0) {
            // Neither length nor chunks: the response ends with its connection, inside an event.
            return exchange.send(exchange.head("Content-Type: text/event-stream\r\n")) &&
                   exchange.send("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n") &&
                   exchange.pause(milliseconds{1400}) && exchange.send("id: 4\nda") && false;
        }
        return exchange.pause(milliseconds{900}) && send_stream_head(exchange) &&
               send_events(exchange, last_event_before_silence + 1, event_count) &&
               exchange.send("0\r\n\r\n");
    };
    serve(script);
    serve(script);
    start();
    expect_whole_stream();
}

// A target that never goes on must not hold its stream; it is left as soon as another one begins.
TEST_F(silent_target, loses_its_stream_to_a_target_that_begins)
{
    start_with_silent_stream(
        [](http_exchange& exchange) {
            return exchange.pause(milliseconds{200}) && send_stream_head(exchange) &&
                   send_events(exchange, last_event_before_silence + 1, event_count) &&
                   exchange.send("0\r\n\r\n");
        },
        seconds{10});
    const auto begin = std::chrono::steady_clock::now();
    expect_whole_stream();
    EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds{2});
    EXPECT_TRUE(wait_until([&] { return m_was_abandoned.load(); }, seconds{1}));
}

// Guards against a stream that is reset because a new configuration denies its repeat.
TEST_F(silent_target, hands_its_stream_over_after_a_new_configuration_dropped_the_route)
{
    start_with_silent_stream(
        [](http_exchange& exchange) {
            return send_stream_head(exchange) &&
                   send_events(exchange, last_event_before_silence + 1, event_count) &&
                   exchange.send("0\r\n\r\n");
        },
        seconds{10});
    std::thread change([this] {
        std::this_thread::sleep_for(milliseconds{300});
        m_fleet.publish_config(2, {"another"}, "/stream/");
    });
    expect_whole_stream();
    change.join();
}

// Guards against an accepted stream that a new configuration denies while its target is silent.
TEST_F(silent_target, keeps_its_stream_when_a_new_configuration_drops_the_route)
{
    start_with_silent_stream([](http_exchange& exchange) {
        return send_stream_head(exchange) &&
               send_events(exchange, last_event_before_silence + 1, event_count) &&
               exchange.send("0\r\n\r\n");
    });
    std::thread change([this] {
        std::this_thread::sleep_for(milliseconds{300});
        m_fleet.publish_config(2, {"secret"}, "/stream/");
    });
    expect_whole_stream();
    change.join();
}

} // namespace
} // namespace chicorylink::process_tests
