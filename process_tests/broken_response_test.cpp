// Checks what a caller gets for responses of targets that are broken in their status, in the names
// of their fields or by a reset, through the VM of the targets' region and through a VM of another.

#include "two_region_targets.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

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
/// More than a VM holds back of a response.
constexpr std::size_t large_body_bytes = 1024UL * 1024;
/// The order in which a connection's end and its bytes are seen differs between tries.
constexpr int tries = 60;

const std::string event_stream = "Content-Type: text/event-stream\r\n";

class broken_response : public two_region_targets {
protected:
    broken_response()
        : two_region_targets("chicorylink_broken_response", "127.0.39.1", "127.0.39.2")
    {
    }

    /// Checks that a response reaches no caller, at once and without another run of a request that
    /// may run once only: on routes of both kinds, on new connections and on reused ones.
    void expect_refused(const std::function<std::string(const http_exchange&)>& broken)
    {
        const auto send_broken = [&](http_exchange& exchange) {
            return exchange.send(broken(exchange));
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            for (const auto* path : {"/unsafe/x", "/stream/x"}) {
                for (const bool is_kept : {false, true}) {
                    SCOPED_TRACE(fmt::format("{} at {}, kept {}", path, ip, is_kept));
                    succeed(ip, is_kept);
                    const auto opened = m_targets.front()->connections();
                    const auto begin = std::chrono::steady_clock::now();
                    const auto result = send(ip, path, send_broken, send_broken);
                    EXPECT_GE(result.status, 500);
                    EXPECT_EQ(result.body.find("broken"), std::string::npos);
                    for (const auto& field : result.headers) {
                        EXPECT_EQ(field.first.find("bad"), std::string::npos) << field.first;
                    }
                    EXPECT_LT(std::chrono::steady_clock::now() - begin, max_time_to_fail);
                    if (path == std::string_view{"/unsafe/x"}) {
                        EXPECT_EQ(result.status, 502);
                        EXPECT_EQ(sends(), 1);
                        EXPECT_EQ(m_targets.front()->connections() - opened, is_kept ? 0 : 1);
                    }
                }
            }
        }
    }

    /// Checks that a request that may run again is served elsewhere in place of a response.
    void expect_repeated(const std::function<std::string(const http_exchange&)>& broken)
    {
        const auto send_broken = [&](http_exchange& exchange) {
            return exchange.send(broken(exchange));
        };
        const auto result = send(m_west_ip, "/safe/x", send_broken, serve_whole());
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, whole_body);
        EXPECT_EQ(sends(), 2);
    }

    /// Sends the begin of a response while a request is being written, and resets the connection in
    /// one of the ways in which that happens.
    static bool send_part(http_exchange& exchange, const std::string& part, int number)
    {
        exchange.send(part);
        std::this_thread::sleep_for(milliseconds{number % 4});
        for (int read = 0; read < number % 5; ++read) {
            exchange.read_some();
        }
        if (number % 3 == 0) {
            exchange.reset();
            return false;
        }
        if (number % 3 == 1) {
            exchange.read_arrived(upload_bytes / 2);
        }
        exchange.close();
        return false;
    }

    /// Ends a response, and reads the request until the peer closes the connection.
    static bool close_in_order(http_exchange& exchange)
    {
        exchange.half_close(milliseconds{0});
        while (exchange.read_some() > 0) {
        }
        return false;
    }

    /// A request that a target can't buffer, different for each call.
    static std::string upload(int number)
    {
        auto body = fmt::format("{} ", number);
        body.resize(upload_bytes, 'x');
        return body;
    }
};

using response_of = std::function<std::string(const http_exchange&)>;

/// A response without a status, alone and before a sound one.
std::vector<response_of> responses_without_status()
{
    std::vector<response_of> responses;
    for (const bool has_another : {false, true}) {
        responses.emplace_back([has_another](const http_exchange& exchange) {
            const auto sound = exchange.response("broken", event_stream);
            auto response = sound;
            response.replace(response.find("200"), 3, "000");
            return response + (has_another ? sound : "");
        });
    }
    return responses;
}

/// Responses with a field name that is no token, in the final head and in an interim one.
std::vector<response_of> responses_with_bad_names()
{
    std::vector<response_of> responses;
    for (const std::string line :
         {"Bad Name: x\r\n", "Content-Length : 3\r\n", "Bad\x01Name: x\r\n",
          "Content-Length\x0b: 3\r\n", "\x7f: x\r\n"}) {
        responses.emplace_back([line](const http_exchange& exchange) {
            return exchange.response("broken", event_stream + line);
        });
        responses.emplace_back([line](const http_exchange& exchange) {
            return fmt::format("HTTP/1.1 102 Wait\r\n{}\r\n{}", line,
                               exchange.response("broken", event_stream));
        });
    }
    return responses;
}

// Guards against a status that is none being passed on, or waited behind for another response.
TEST_F(broken_response, without_a_status_reaches_no_caller)
{
    start(1);
    for (const auto& response : responses_without_status()) {
        expect_refused(response);
    }
}

// Guards against a line of a head that the VM and the caller may read differently.
TEST_F(broken_response, with_a_field_name_that_is_no_token_reaches_no_caller)
{
    start(1);
    for (const auto& response : responses_with_bad_names()) {
        expect_refused(response);
    }
}

// Guards against the same where the request may run again.
TEST_F(broken_response, with_a_broken_head_is_replaced_by_that_of_another_target)
{
    start(many_targets);
    for (const auto& response : responses_without_status()) {
        expect_repeated(response);
    }
    for (const auto& response : responses_with_bad_names()) {
        expect_repeated(response);
    }
}

// Guards against a part of a body without a length being passed on as the whole, because the target
// reset the connection while the request was still being written.
TEST_F(broken_response, that_ends_with_a_reset_reaches_no_caller)
{
    start(1, body_reading::only_short);
    const std::string part(body_bytes, 'y');
    for (int number = 0; number < tries; ++number) {
        const auto respond = [&](http_exchange& exchange) {
            return send_part(exchange, exchange.head("") + part, number);
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            for (const bool is_kept : {false, true}) {
                SCOPED_TRACE(fmt::format("try {} at {}, kept {}", number, ip, is_kept));
                succeed(ip, is_kept);
                const auto opened = m_targets.front()->connections();
                const auto result = send(ip, "/unsafe/x", respond, serve_whole(), upload(number));
                ASSERT_EQ(result.status, 502);
                EXPECT_EQ(sends(), 1);
                EXPECT_EQ(m_targets.front()->connections() - opened, is_kept ? 0 : 1);
            }
        }
    }
}

// Guards against the same behind a part that is too long to be held back.
TEST_F(broken_response, that_ends_with_a_reset_looks_complete_to_no_caller)
{
    start(1, body_reading::only_short);
    const std::string part(large_body_bytes, 'y');
    for (int number = 0; number < tries; ++number) {
        const auto respond = [&](http_exchange& exchange) {
            return send_part(exchange, exchange.head("") + part, number);
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            SCOPED_TRACE(fmt::format("try {} at {}", number, ip));
            succeed(ip, false);
            const auto result = send(ip, "/unsafe/x", respond, serve_whole(), upload(number));
            ASSERT_FALSE(result.status == 200 && result.complete);
            EXPECT_EQ(sends(), 1);
        }
    }
}

// Guards against the same where the request may run again.
TEST_F(broken_response, that_ends_with_a_reset_is_replaced_by_that_of_another_target)
{
    // Every request needs a repeat.
    m_fleet.set_retry_slack(10 * many_targets);
    start(many_targets, body_reading::only_short);
    const std::string part(body_bytes, 'y');
    // Each failure excludes a target for a while.
    for (int number = 0; number < many_targets; ++number) {
        SCOPED_TRACE(number);
        const auto respond = [&](http_exchange& exchange) {
            return send_part(exchange, exchange.head("") + part, number);
        };
        const auto result = send(m_west_ip, "/safe/x", respond, serve_whole(), upload(number));
        ASSERT_EQ(result.status, 200);
        ASSERT_EQ(result.body, whole_body);
        EXPECT_EQ(sends(), 2);
    }
}

// Guards against the same in a stream, which has to be continued at another target.
TEST_F(broken_response, that_ends_with_a_reset_is_no_end_of_a_stream)
{
    // Every stream needs a repeat.
    m_fleet.set_retry_slack(10 * many_targets);
    start(many_targets, body_reading::only_short);
    const std::string first = "id: 1\ndata: 1\n\n";
    const std::string second = "id: 2\ndata: 2\n\n";
    const auto send_rest = [&](http_exchange& exchange) {
        return exchange.send(exchange.head(event_stream) + second) && close_in_order(exchange);
    };
    // Each failure excludes a target for a while.
    for (int number = 0; number < many_targets; ++number) {
        SCOPED_TRACE(number);
        const auto respond = [&](http_exchange& exchange) {
            return send_part(exchange, exchange.head(event_stream) + first, number);
        };
        const auto result = send(m_west_ip, "/stream/x", respond, send_rest, upload(number));
        ASSERT_EQ(result.status, 200);
        ASSERT_TRUE(result.complete);
        ASSERT_EQ(result.body, first + second);
        EXPECT_EQ(sends(), 2);
    }
}

// Guards against a check of resets that loses responses that are whole before their request is.
TEST_F(broken_response, whole_ones_pass_before_their_request_is_written)
{
    start(1, body_reading::only_short);
    const std::string body(body_bytes, 'y');
    for (int number = 0; number < tries; ++number) {
        const auto send_to_close = [&](http_exchange& exchange) {
            exchange.send(exchange.head("") + body);
            std::this_thread::sleep_for(milliseconds{number % 4});
            return close_in_order(exchange);
        };
        const auto send_length = [&](http_exchange& exchange) {
            return send_part(exchange, exchange.response(body), number);
        };
        const auto send_chunks = [&](http_exchange& exchange) {
            return send_part(exchange,
                             exchange.head("Transfer-Encoding: chunked\r\n") +
                                 http_exchange::chunk(body) + "0\r\n\r\n",
                             number);
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            SCOPED_TRACE(fmt::format("try {} at {}", number, ip));
            for (const auto& whole :
                 {script{send_to_close}, script{send_length}, script{send_chunks}}) {
                succeed(ip, number % 3 == 0);
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
