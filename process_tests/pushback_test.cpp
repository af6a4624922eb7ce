// Targets of the users' platform that announce leaving or push back must get no further requests.

#include "scripted_vm.hpp"

#include <chrono>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using http_exchange = scripted_target::http_exchange;

class pushback : public scripted_vm {
protected:
    pushback() : scripted_vm("127.0.5.1") {}
};

// A target announces in a response that it is leaving; no new request may reach it afterwards.
TEST_F(pushback, a_target_that_announces_leaving_gets_no_more_requests)
{
    serve([](http_exchange& exchange) {
        return exchange.send(
                   exchange.response("leaving", "Server-Leaving: 1\r\nConnection: close\r\n")) &&
               false;
    });
    serve([](http_exchange& exchange) { return exchange.send(exchange.response("staying")); });
    start();
    std::string body;
    for (int number = 0; number < 50 && body != "leaving"; ++number) {
        body = send_request("/safe/x", fmt::format("seek-{}", number)).body;
    }
    ASSERT_EQ(body, "leaving");
    const auto before = m_targets[0]->request_count();
    for (int number = 0; number < 50; ++number) {
        EXPECT_EQ(send_request("/safe/x", fmt::format("id-{}", number)).body, "staying");
    }
    EXPECT_EQ(m_targets[0]->request_count(), before);
}

TEST_F(pushback, a_truncated_response_that_announces_leaving_is_honored)
{
    serve([](http_exchange& exchange) {
        return exchange.send(exchange.head("Server-Leaving: 1\r\nContent-Length: 100\r\n")) &&
               false;
    });
    start();
    EXPECT_NE(send_request("/unsafe/x", "id-1").status, 503);
    const auto refused = send_request("/unsafe/x", "id-2");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(m_targets[0]->request_count(), 1);
}

TEST_F(pushback, a_target_that_pushes_back_gets_no_requests_until_retry_after)
{
    serve([](http_exchange& exchange) {
        return exchange.send(
            exchange.response("full", "X-Chicorylink-Not-Run: 1\r\nRetry-After: 1.5\r\n", 503));
    });
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto first = send_request("/safe/x", "id-0");
    EXPECT_EQ(first.status, 503);
    // The caller gets the target's retry delay.
    EXPECT_GE(std::stod(first.header("retry-after")), 1.3);
    EXPECT_LE(std::stod(first.header("retry-after")), 2.6);
    int number = 1;
    while (std::chrono::steady_clock::now() - begin < milliseconds{1400}) {
        EXPECT_EQ(send_request("/safe/x", fmt::format("id-{}", number++)).status, 503);
    }
    EXPECT_EQ(m_targets[0]->request_count(), 1);
}

} // namespace
} // namespace chicorylink::process_tests
