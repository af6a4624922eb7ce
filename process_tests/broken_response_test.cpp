// Checks what a caller gets for responses of targets that are broken in their status, in the names
// of their fields or by a reset, through the VM of the targets' region and through a VM of another.

#include "two_region_targets.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;
using body_reading = scripted_target::body_reading;

/// Far below the deadline of the requests.
constexpr seconds max_time_to_fail{2};

/// More than the sockets between a VM and a target buffer.
constexpr std::size_t upload_bytes = 4UL * 1024 * 1024;
/// Fits into the receive buffer of a connection that nobody reads.
constexpr std::size_t body_bytes = 40'000;
/// The order in which a connection's end and its bytes are seen differs between tries.
constexpr int tries = 60;

class broken_response : public two_region_targets {
protected:
    broken_response()
        : two_region_targets("chicorylink_broken_response", "127.0.39.1", "127.0.39.2")
    {
    }

    /// Checks that no caller gets a response that a target sends, at once and without another run
    /// of a request that may run once only.
    void expect_refused(const std::function<std::string(const http_exchange&)>& broken)
    {
        const auto send_broken = [&](http_exchange& exchange) {
            return exchange.send(broken(exchange));
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            const auto begin = std::chrono::steady_clock::now();
            const auto result = send(ip, "/unsafe/x", send_broken, serve_whole());
            EXPECT_EQ(result.status, 502);
            EXPECT_TRUE(result.complete);
            EXPECT_EQ(result.header("bad name"), "");
            EXPECT_EQ(result.body.find("broken"), std::string::npos);
            EXPECT_EQ(sends(), 1);
            EXPECT_LT(std::chrono::steady_clock::now() - begin, max_time_to_fail);
        }
        const auto retried = send(m_west_ip, "/safe/x", send_broken, serve_whole());
        EXPECT_EQ(retried.status, 200);
        EXPECT_EQ(retried.body, whole_body);
        EXPECT_EQ(sends(), 2);
    }

    /// A request that a target can't buffer, different for each call.
    static std::string upload(int number)
    {
        auto body = fmt::format("{} ", number);
        body.resize(upload_bytes, 'x');
        return body;
    }
};

// Guards against a status that is none being passed on, or waited behind for another response.
TEST_F(broken_response, without_a_status_reaches_no_caller)
{
    start(many_targets);
    for (const bool has_another : {false, true}) {
        expect_refused([has_another](const http_exchange& exchange) {
            const auto valid = exchange.response("broken");
            auto response = valid;
            response.replace(response.find("200"), 3, "000");
            return response + (has_another ? valid : "");
        });
    }
}

// Guards against a line of a head that the VM and the caller may read differently.
TEST_F(broken_response, with_a_field_name_that_is_no_token_reaches_no_caller)
{
    start(many_targets);
    for (const auto* line : {"Bad Name: x\r\n", "Content-Length : 3\r\n", "Bad\x01Name: x\r\n",
                             "Content-Length\x0b: 3\r\n", "\x7f: x\r\n"}) {
        SCOPED_TRACE(line);
        expect_refused(
            [line](const http_exchange& exchange) { return exchange.response("broken", line); });
    }
}

// Guards against a part of a body without a length being passed on as the whole, because the target
// reset the connection while the request was still being written.
TEST_F(broken_response, that_ends_with_a_reset_reaches_no_caller)
{
    start(1, body_reading::none);
    const std::string part(body_bytes, 'y');
    for (int number = 0; number < tries; ++number) {
        const auto send_part = [&](http_exchange& exchange) {
            exchange.send(exchange.head("") + part);
            std::this_thread::sleep_for(milliseconds{number % 4});
            for (int read = 0; read < number % 5; ++read) {
                exchange.read_some();
            }
            exchange.reset();
            return false;
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            SCOPED_TRACE(fmt::format("try {} at {}", number, ip));
            succeed(ip, false);
            const auto result = send(ip, "/unsafe/x", send_part, serve_whole(), upload(number));
            ASSERT_EQ(result.status, 502);
            EXPECT_EQ(sends(), 1);
        }
    }
}

// Guards against the same in a stream, which has to be continued at another target.
TEST_F(broken_response, that_ends_with_a_reset_is_no_end_of_a_stream)
{
    // Every stream needs a repeat.
    m_fleet.set_retry_slack(10 * many_targets);
    start(many_targets, body_reading::none);
    const std::string head_fields = "Content-Type: text/event-stream\r\n";
    const std::string first = "id: 1\ndata: 1\n\n";
    const std::string second = "id: 2\ndata: 2\n\n";
    const auto send_rest = [&](http_exchange& exchange) {
        return exchange.send(exchange.head(head_fields) + second);
    };
    // Each failure excludes a target for a while.
    for (int number = 0; number < many_targets; ++number) {
        SCOPED_TRACE(number);
        const auto send_part = [&](http_exchange& exchange) {
            exchange.send(exchange.head(head_fields) + first);
            std::this_thread::sleep_for(milliseconds{number % 4});
            exchange.reset();
            return false;
        };
        const auto result = send(m_west_ip, "/stream/x", send_part, send_rest, upload(number));
        ASSERT_EQ(result.status, 200);
        ASSERT_TRUE(result.complete);
        ASSERT_EQ(result.body, first + second);
        EXPECT_EQ(sends(), 2);
    }
}

// Guards against a check of resets that loses responses that are whole before their request is.
TEST_F(broken_response, whole_ones_pass_before_their_request_is_written)
{
    start(1, body_reading::none);
    const std::string body(body_bytes, 'y');
    for (int number = 0; number < tries; ++number) {
        const auto send_to_close = [&](http_exchange& exchange) {
            exchange.send(exchange.head("") + body);
            std::this_thread::sleep_for(milliseconds{number % 4});
            exchange.half_close(milliseconds{0});
            if (number % 2 == 0) {
                exchange.reset();
            }
            return false;
        };
        const auto send_and_reset = [&](http_exchange& exchange) {
            exchange.send(exchange.response(body));
            std::this_thread::sleep_for(milliseconds{number % 4});
            exchange.reset();
            return false;
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            SCOPED_TRACE(fmt::format("try {} at {}", number, ip));
            for (const script& whole : {script{send_to_close}, script{send_and_reset}}) {
                const auto result = send(ip, "/unsafe/x", whole, serve_whole(), upload(number));
                ASSERT_EQ(result.status, 200);
                EXPECT_TRUE(result.complete);
                EXPECT_TRUE(result.body == body) << result.body.size() << " bytes";
            }
        }
    }
}

} // namespace
} // namespace chicorylink::process_tests
