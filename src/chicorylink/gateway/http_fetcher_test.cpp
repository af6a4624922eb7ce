#include "chicorylink/gateway/control_loop.hpp"
#include "chicorylink/gateway/http_fetcher.hpp"
#include "chicorylink/platform/http_test_server.hpp"

#include <chrono>
#include <future>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

using platform::http_test_server;

fetch_result fetch(http_test_server::script respond)
{
    const auto now = [] { return std::chrono::steady_clock::now(); };
    http_test_server server(std::move(respond));
    control_loop loop(now);
    platform::http_client http;
    http_fetcher fetcher(http, loop, now);
    std::promise<fetch_result> done;
    fetcher.get(server.url(), std::chrono::seconds{5},
                [&](const fetch_result& response) { done.set_value(response); });
    loop.start();
    auto result = done.get_future().get();
    loop.stop();
    return result;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string list = "{\"targets\":[]}";

std::string with_list(const std::string& head)
{
    return fmt::format("{}\r\n{}", head, list);
}

// Guards against a list, a load or a configuration that is read from a response that broke off or
// has a malformed head.
TEST(http_fetcher, a_broken_response_has_no_status_and_no_body)
{
    for (const auto& head : {std::string{"HTTP/1.1 000 OK\r\n"}, ok + "Bad Name: x\r\n",
                             ok + "Bad\x01Name: x\r\n", ok + '\0' + "X: y\r\n"}) {
        const auto result = fetch(platform::respond(with_list(head + "Content-Length: 14\r\n")));
        EXPECT_EQ(result.status, 0) << head;
        EXPECT_EQ(result.body, "") << head;
    }
    constexpr int tries = 100;
    for (int number = 0; number < tries; ++number) {
        const auto result = fetch([&](http_test_server::socket& peer) {
            const auto* length = number % 2 == 0 ? "" : "Content-Length: 20\r\n";
            http_test_server::send(peer, with_list(ok + length));
            http_test_server::reset(peer);
        });
        EXPECT_EQ(result.status, 0) << number;
        EXPECT_EQ(result.body, "") << number;
    }
}

TEST(http_fetcher, a_sound_response_is_delivered)
{
    for (const auto* length : {"", "Content-Length: 14\r\n"}) {
        const auto result = fetch(platform::respond(with_list(ok + length)));
        EXPECT_EQ(result.status, 200) << length;
        EXPECT_EQ(result.body, list) << length;
    }
}

} // namespace
} // namespace chicorylink::gateway
