#include "chicorylink/platform/http_test_server.hpp"
#include "plan.hpp"
#include "runner.hpp"
#include "stream_reader.hpp"
#include "summary.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::load {
namespace {

bool accepted(const plan& load_plan)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(check(load_plan));
            return true;
        },
        [] { return false; });
}

TEST(plan, only_loopback_addresses_are_accepted)
{
    plan load_plan;
    EXPECT_FALSE(accepted(load_plan));
    load_plan.addresses = {"127.0.0.1:8081", "127.3.0.9:80"};
    EXPECT_TRUE(accepted(load_plan));
    for (const char* other : {"10.0.0.1:80", "example.com:80", "127.0.0.1", "127.0.0.1:",
                              "127.0.0.1:80@10.0.0.1:80", "127.0.0.1:80/x", "::1:80"}) {
        load_plan.addresses = {"127.0.0.1:8081", other};
        EXPECT_FALSE(accepted(load_plan)) << other;
    }
}

TEST(plan, is_bounded_in_count_and_time)
{
    plan load_plan{.addresses = {"127.0.0.1:1"}};
    load_plan.calls_per_second = 1000;
    load_plan.calls = 100'000;
    load_plan.time_limit = base::milliseconds{2000};
    const auto starts = start_times(load_plan);
    EXPECT_LE(starts.back(), load_plan.time_limit);
    EXPECT_EQ(starts, start_times(load_plan)) << "a seed gives one schedule";
    load_plan.calls = 10;
    EXPECT_EQ(start_times(load_plan).size(), 10U);
    load_plan.calls = 1'000'000;
    EXPECT_FALSE(accepted(load_plan));
}

// Guards against a response whose head parsers read differently being counted as a served call.
TEST(runner, a_response_with_a_broken_head_is_no_response)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const auto& [head, is_sound] :
         {std::pair{ok, true}, std::pair{ok + "Bad Name: x\r\n", false},
          std::pair{ok + '\0' + "X: y\r\n", false},
          std::pair{std::string{"HTTP/1.1 000 OK\r\n"}, false}}) {
        platform::http_test_server server(
            platform::respond(head + "Content-Length: 14\r\n\r\ndata: [DONE]\n\n"));
        plan load_plan{.addresses = {server.address()}};
        load_plan.calls = 1;
        summary result;
        run(load_plan, result);
        EXPECT_EQ(result.complete(), is_sound ? 1U : 0U) << head;
        EXPECT_EQ(result.truncated(), 0U) << head;
        EXPECT_EQ(result.to_json()["by_status"].value(is_sound ? "200" : "0", 0), 1) << head;
    }
}

// Guards against a stream without a length being counted as complete although its connection was
// reset.
TEST(runner, a_response_that_ends_with_a_reset_is_not_complete)
{
    constexpr int tries = 40;
    for (int number = 0; number < tries; ++number) {
        platform::http_test_server server([](platform::http_test_server::socket& peer) {
            platform::http_test_server::send(peer, "HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n");
            platform::http_test_server::reset(peer);
        });
        plan load_plan{.addresses = {server.address()}};
        load_plan.calls = 1;
        summary result;
        run(load_plan, result);
        EXPECT_EQ(result.complete(), 0U) << number;
    }
}

TEST(stream_reader, counts_tokens_whatever_the_cuts)
{
    const std::string text = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n"
                             "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
                             "data: {\"choices\":[{\"delta\":{}}],\"usage\":{}}\n\n"
                             "data: [DONE]\n\n";
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
        stream_reader reader;
        reader.read(text.substr(0, cut));
        reader.read(text.substr(cut));
        EXPECT_EQ(reader.tokens(), 2U);
        EXPECT_TRUE(reader.complete());
    }
    stream_reader truncated;
    truncated.read(text.substr(0, text.size() - 4));
    EXPECT_FALSE(truncated.complete());
}

TEST(summary, a_truncated_answer_is_no_complete_one)
{
    summary result;
    for (int call = 1; call <= 1000; ++call) {
        result.add({.status = 200, .complete = true, .first_token = base::milliseconds{call}});
    }
    result.add({.status = 200, .complete = false});
    result.add({.status = 503});
    const auto figures = result.to_json();
    EXPECT_EQ(figures["complete"], 1000);
    EXPECT_EQ(figures["truncated"], 1);
    EXPECT_EQ(figures["by_status"]["503"], 1);
    EXPECT_NEAR(figures["first_token_ms"]["p50"].get<double>(), 500.0, 20.0);
    EXPECT_NEAR(figures["first_token_ms"]["p99"].get<double>(), 990.0, 20.0);
}

} // namespace
} // namespace chicorylink::load
