// Checks that the stand-ins follow docs/PLATFORM.md, which the other process tests rely on.

#include "fleet.hpp"

#include <cstdlib>
#include <filesystem>

#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

class stand_ins : public testing::Test {
protected:
    static std::string folder()
    {
        auto path = std::string(std::getenv("CHICORYLINK_BINARIES")) + "/logs/stand_ins";
        std::filesystem::create_directories(path);
        return path;
    }

    call chat(const std::string& request_id, bool stream, int max_tokens = 4)
    {
        auto request = chat_call("http://" + m_engine + "/v1/chat/completions", "", "m",
                                 "hello there", stream, max_tokens);
        request.headers.push_back("X-Request-Id: " + request_id);
        return request;
    }

    fleet m_fleet{std::getenv("CHICORYLINK_BINARIES"), folder()};
    std::string m_engine = m_fleet.start_target(
        "engine", "stand_in_engine", {"--checks-fencing", "--slots", "1", "--token-delay-ms", "1"});
};

std::string streamed_content(const std::string& events)
{
    std::string content;
    for (std::size_t at = events.find("data: {"); at != std::string::npos;
         at = events.find("data: {", at + 1)) {
        const auto event = events.substr(at + 6, events.find('\n', at) - at - 6);
        const auto json = nlohmann::json::parse(event);
        content += json["choices"][0]["delta"].value("content", "");
    }
    return content;
}

TEST_F(stand_ins, engine_gives_the_same_tokens_plain_streamed_and_resumed)
{
    const auto plain = perform(chat("7-1", false));
    ASSERT_EQ(plain.status, 200) << plain.body;
    EXPECT_EQ(plain.header("x-request-id"), "7-1");
    EXPECT_FALSE(plain.header("x-load").empty());
    EXPECT_EQ(plain.json()["usage"]["completion_tokens"], 4);
    const auto content = plain.json()["choices"][0]["message"]["content"].get<std::string>();
    const auto streamed = perform(chat("7-1", true));
    EXPECT_TRUE(streamed.complete);
    EXPECT_EQ(streamed_content(streamed.body), content);
    EXPECT_TRUE(streamed.body.ends_with("data: [DONE]\n\n"));
    auto remaining = chat("7-1", true);
    remaining.headers.emplace_back("X-Resume-From: 2");
    const auto resumed = perform(remaining);
    EXPECT_EQ(resumed.header("x-resume-from"), "2");
    EXPECT_TRUE(content.ends_with(streamed_content(resumed.body)));
    EXPECT_TRUE(streamed_content(resumed.body).starts_with("2:"));
}

TEST_F(stand_ins, engine_cancels_when_the_client_closes_while_running_or_queued)
{
    auto running = chat("7-1", true, 100'000);
    auto queued = chat("7-2", false);
    queued.timeout_ms = 100;
    int queued_status = -1;
    running.on_data = [&](const std::string&) {
        queued_status = perform(queued).status;
        return false;
    };
    EXPECT_FALSE(perform(running).complete);
    EXPECT_EQ(queued_status, 0);
    EXPECT_TRUE(wait_until([&] { return m_fleet.counter("engine", "cancelled") == 2; }));
    EXPECT_EQ(m_fleet.counter("engine", "completed"), 0U);
    EXPECT_EQ(perform(chat("7-3", false)).status, 200);
}

TEST_F(stand_ins, engine_faults_apply_to_the_set_number_of_requests)
{
    m_fleet.control_target("engine", "faults", {{"close_after", 2}, {"count", 1}});
    const auto truncated = perform(chat("7-1", true));
    EXPECT_FALSE(truncated.complete);
    EXPECT_TRUE(streamed_content(truncated.body).starts_with("0:"));
    EXPECT_EQ(truncated.body.find("[DONE]"), std::string::npos);
    EXPECT_TRUE(perform(chat("7-1", true)).complete);
    m_fleet.control_target("engine", "faults", {{"status", 500}});
    EXPECT_EQ(perform(chat("7-1", true)).status, 500);
    m_fleet.control_target("engine", "faults", {{"wrong_request_id", true}});
    EXPECT_NE(perform(chat("7-1", true)).header("x-request-id"), "7-1");
}

TEST_F(stand_ins, engine_refuses_a_command_with_an_older_fencing_token)
{
    const auto send_command = [&](const std::string& token) {
        return perform(
                   {.method = "POST",
                    .url = "http://" + m_engine + "/v1/orders",
                    .body = R"({"fencing": )" + token + R"(, "model": "m", "state": "loaded"})"})
            .status;
    };
    EXPECT_EQ(send_command("[2, 1, 1]"), 200);
    EXPECT_EQ(send_command("[1, 9, 9]"), 409);
    EXPECT_EQ(send_command("[2, 1, 1]"), 200);
    EXPECT_EQ(send_command("[2, 2, 0]"), 200);
}

TEST_F(stand_ins, service_counts_runs_and_reports_where_a_text_was_received)
{
    const auto address = m_fleet.start_target("bookings", "stand_in_service");
    const call booking{.method = "POST",
                       .url = "http://" + address + "/new?seat=4",
                       .headers = {"X-Secret: s-123"},
                       .body = "one"};
    m_fleet.control_target("bookings", "faults", {{"drop", true}, {"run", true}, {"count", 1}});
    EXPECT_EQ(perform(booking).status, 0);
    const auto second = perform(booking);
    EXPECT_EQ(second.json()["runs"], 2);
    EXPECT_EQ(second.json()["path"], "/new");
    const auto found = [&](const std::string& text) {
        return perform({.url = "http://" + address + "/control/received?contains=" + text})
            .json()["found_in"];
    };
    EXPECT_EQ(found("s-123"), nlohmann::json({"header_values"}));
    EXPECT_EQ(found("seat"), nlohmann::json({"query"}));
    EXPECT_TRUE(found("absent").empty());
}

TEST_F(stand_ins, platform_serves_versions_limits_them_and_goes_down)
{
    const auto manifest = [&](const std::string& query) {
        return perform(
            {.url = "http://" + m_fleet.platform_address() + "/v1/config/manifest?" + query});
    };
    EXPECT_EQ(manifest("after=0&wait_ms=1").status, 304);
    m_fleet.publish("region a # x\n");
    m_fleet.publish("region a # x\nregion b # x\n");
    EXPECT_TRUE(manifest("after=1").body.starts_with("version 2\n"));
    EXPECT_EQ(manifest("after=2&wait_ms=1").status, 304);
    m_fleet.control_platform("stale", {{"version", 1}});
    EXPECT_TRUE(manifest("after=0").body.starts_with("version 1\n"));
    m_fleet.control_platform("mode", {{"mode", "drop"}});
    EXPECT_EQ(manifest("after=0").status, 0);
    m_fleet.control_platform("mode", {{"mode", "error"}});
    EXPECT_EQ(manifest("after=0").status, 503);
    m_fleet.control_platform("mode", {{"mode", "up"}});
    m_fleet.control_platform("rate", {{"calls_per_second", 0}});
    EXPECT_EQ(manifest("after=0").status, 429);
}

} // namespace
} // namespace chicorylink::process_tests
