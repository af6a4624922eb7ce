// Checks that a refusal counts only for the request that it refuses, however a target repeats it.

#include "scripted_vm.hpp"

#include <chrono>
#include <mutex>
#include <string_view>
#include <thread>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

/// Within this time the caller hears of a failed attempt; its deadline is much later.
constexpr seconds failure_bound{2};

constexpr std::string_view earlier_id = "X-Chicorylink-Request-Id: id-earlier\r\n";
constexpr std::string_view with_length = "Content-Length: 4\r\n\r\nfull";

std::string refusal(std::string_view id_field, std::string_view rest, int status = 503)
{
    return fmt::format("HTTP/1.1 {} Status\r\n{}X-Chicorylink-Not-Run: 1\r\n{}", status, id_field,
                       rest);
}

bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

std::string answer_to(const http_exchange& exchange)
{
    return exchange.response("to " + exchange.id());
}

/// Sends a copy of a refusal and then the answer, in one piece or in two.
scripted_target::script answer_after(std::string copy, bool is_split)
{
    return [copy = std::move(copy), is_split](http_exchange& exchange) {
        if (!is_split) {
            return exchange.send(copy + answer_to(exchange));
        }
        return exchange.send(copy) && exchange.pause(milliseconds{20}) &&
               exchange.send(answer_to(exchange));
    };
}

class second_refusal : public scripted_vm {
protected:
    second_refusal() : scripted_vm("127.0.9.1") {}

    /// Publishes two targets that answer the first request on each connection.
    void start_targets()
    {
        for (int number = 0; number < 2; ++number) {
            serve([this](http_exchange& exchange) {
                if (exchange.request_number() == 1) {
                    return exchange.send(answer_to(exchange));
                }
                scripted_target::script respond;
                {
                    const std::lock_guard lock(m_mutex);
                    respond = m_respond_later;
                }
                return respond(exchange);
            });
        }
        start();
    }

    /// Sends requests until one is not the first on its connection and gets this response.
    /// @return What the caller got. The request must have been sent once and not be refused.
    reply expect_no_false_refusal(scripted_target::script respond)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_respond_later = std::move(respond);
        }
        for (int turn = 0; turn < 10; ++turn) {
            const auto id = fmt::format("id-{}", ++m_requests);
            const auto connections = connection_count();
            const auto begin = std::chrono::steady_clock::now();
            auto result = send_request("/unsafe/x", id);
            EXPECT_LT(std::chrono::steady_clock::now() - begin, failure_bound);
            EXPECT_FALSE(promises_not_run(result.status)) << result.status;
            EXPECT_EQ(m_targets[0]->request_count(id) + m_targets[1]->request_count(id), 1);
            EXPECT_EQ(result.body.find("full"), std::string::npos);
            if (connection_count() == connections) {
                return result;
            }
        }
        ADD_FAILURE() << "no connection was used again";
        return {};
    }

    [[nodiscard]] int connection_count() const
    {
        return m_targets[0]->connections() + m_targets[1]->connections();
    }

private:
    std::mutex m_mutex;
    scripted_target::script m_respond_later;
    int m_requests = 0;
};

// Guards against the copy of an earlier refusal being taken for the response to the next request.
TEST_F(second_refusal, a_copy_with_an_earlier_id_is_skipped)
{
    start_targets();
    std::vector<std::string> copies{
        refusal(earlier_id, "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"),
        refusal("x-chicorylink-request-id: ID-EARLIER\r\n", with_length),
        "HTTP/1.1 102 Processing\r\n\r\n" + refusal(earlier_id, with_length),
        refusal(earlier_id, with_length) + refusal(earlier_id, with_length)};
    for (const int status : {503, 429, 421, 408, 400}) {
        copies.push_back(refusal(earlier_id, with_length, status));
    }
    for (const auto& copy : copies) {
        for (const bool is_split : {false, true}) {
            SCOPED_TRACE(fmt::format("{} split {}", copy, is_split));
            EXPECT_EQ(expect_no_false_refusal(answer_after(copy, is_split)).status, 200);
        }
    }
}

// Guards against a refusal that names no request being taken for the response on a used connection.
TEST_F(second_refusal, a_copy_without_id_promises_nothing)
{
    start_targets();
    for (const int status : {503, 429, 421, 408, 400}) {
        for (const bool is_split : {false, true}) {
            SCOPED_TRACE(fmt::format("{} split {}", status, is_split));
            const auto copy = refusal("", with_length, status);
            EXPECT_EQ(expect_no_false_refusal(answer_after(copy, is_split)).status, 502);
        }
    }
}

// Guards against a call that does not end: a copy without a length ends with its connection, and no
// other response follows.
TEST_F(second_refusal, a_copy_that_ends_with_the_connection_fails_the_request_at_once)
{
    start_targets();
    const auto result = expect_no_false_refusal([](http_exchange& exchange) {
        return exchange.send(refusal(earlier_id, "\r\nfull")) && false;
    });
    EXPECT_EQ(result.status, 502);
}

// Guards against a copy that begins within the head of the next response: its fields join that
// head, which then names both requests.
TEST_F(second_refusal, a_copy_within_the_next_head_promises_nothing)
{
    start_targets();
    for (const auto* unfinished : {"", "Server: a\r\n", "Date: Sat"}) {
        SCOPED_TRACE(unfinished);
        const auto result = expect_no_false_refusal([unfinished](http_exchange& exchange) {
            return exchange.send(fmt::format("HTTP/1.1 200 OK\r\nX-Chicorylink-Request-Id: {}\r\n"
                                             "X-Chicorylink-Server-Stamp: s\r\n{}",
                                             exchange.id(), unfinished)) &&
                   exchange.send(refusal(earlier_id, with_length)) && false;
        });
        EXPECT_EQ(result.status, 502);
    }
}

// Guards against a success that is taken for a refusal because a field of a refusal got into it.
TEST_F(second_refusal, a_success_with_the_field_of_a_refusal_promises_nothing)
{
    start_targets();
    const auto result = expect_no_false_refusal([](http_exchange& exchange) {
        return exchange.send(exchange.response("done", "X-Chicorylink-Not-Run: 1\r\n"));
    });
    EXPECT_EQ(result.status, 502);
}

// Guards against a status that promises "not run" being passed on although the target does not say
// that it did not run the request.
TEST_F(second_refusal, a_target_that_does_not_say_not_run_promises_nothing)
{
    start_targets();
    for (const int status : {503, 429, 408}) {
        for (const auto* stamp : {"", "X-Chicorylink-Server-Stamp: s\r\n"}) {
            SCOPED_TRACE(fmt::format("{} {}", status, stamp));
            const auto result = expect_no_false_refusal([=](http_exchange& exchange) {
                return exchange.send(fmt::format("HTTP/1.1 {} Status\r\n{}"
                                                 "X-Chicorylink-Request-Id: {}\r\n{}",
                                                 status, stamp, exchange.id(), with_length));
            });
            EXPECT_EQ(result.status, 502);
        }
    }
}

// Guards against a refusal that is written twice at once, or while its connection is idle, and then
// met by the next request.
TEST_F(second_refusal, a_refusal_written_twice_does_not_reach_the_next_request)
{
    for (int number = 0; number < 2; ++number) {
        serve([](http_exchange& exchange) {
            const bool is_refused = exchange.id().starts_with("refused");
            const auto refused = refusal(
                fmt::format("X-Chicorylink-Request-Id: {}\r\n", exchange.id()), with_length);
            if (exchange.id() == "refused-at-once") {
                return exchange.send(refused + refused);
            }
            if (is_refused) {
                const bool is_connected = exchange.send(refused);
                std::this_thread::sleep_for(milliseconds{5});
                return is_connected && exchange.send(refused);
            }
            return exchange.send(answer_to(exchange));
        });
    }
    start();
    for (const auto* refused : {"refused-at-once", "refused-twice"}) {
        EXPECT_EQ(send_request("/unsafe/x", refused).status, 503);
        for (int number = 0; number < 8; ++number) {
            const auto id = fmt::format("{}-then-{}", number, refused);
            EXPECT_EQ(send_request("/unsafe/x", id).body, "to " + id);
            EXPECT_EQ(m_targets[0]->request_count(id) + m_targets[1]->request_count(id), 1);
        }
    }
}

} // namespace
} // namespace chicorylink::process_tests
