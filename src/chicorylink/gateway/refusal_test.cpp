#include "chicorylink/gateway/refusal.hpp"
#include "chicorylink/gateway/settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

using ::testing::Contains;
using ::testing::HasSubstr;
using ::testing::Pair;

TEST(refusal, has_outcome_remedy_and_retry_after)
{
    const auto response = response_of({refusal_kind::rate_exceeded, "too fast", "wait",
                                       run_outcome::not_run, base::milliseconds{1'200}});
    EXPECT_EQ(response.status, 429);
    EXPECT_THAT(response.headers, Contains(Pair("Retry-After", "2")));
    EXPECT_THAT(response.headers, Contains(Pair("X-Chicorylink-Outcome", "not-run")));
    EXPECT_THAT(response.body, HasSubstr("\"remedy\":\"wait\""));
}

settings valid_settings()
{
    settings value;
    value.vm = "v";
    value.region = "r";
    value.data_center = "d";
    value.listen = "127.0.0.1:0";
    value.peer_listen = "127.0.0.1:0";
    value.platform_url = "http://127.0.0.1:1";
    value.peer_plaintext = true;
    value.ticket_keys = {"0123456789abcdef"};
    return value;
}

std::string problem_of(const settings& value)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_CHECK(check(value));
            return std::string{};
        },
        [](const base::error& failure) { return base::describe(failure); },
        [] { return std::string("untyped"); });
}

TEST(settings, accepts_valid_settings)
{
    EXPECT_EQ(problem_of(valid_settings()), "");
}

TEST(settings, errors_name_flag_variable_and_remedy)
{
    auto value = valid_settings();
    value.peer_listen = "10.0.0.1";
    EXPECT_THAT(problem_of(value), HasSubstr("--peer-listen (CHICORYLINK_PEER_LISTEN)"));
    EXPECT_THAT(problem_of(value), HasSubstr("IP:port"));
}

TEST(settings, peer_links_require_tls_unless_disabled)
{
    auto value = valid_settings();
    value.peer_plaintext = false;
    EXPECT_THAT(problem_of(value), HasSubstr("--peer-plaintext"));
}

TEST(settings, rejects_incomplete_pair)
{
    auto value = valid_settings();
    value.callers_key_file = "key.pem";
    EXPECT_THAT(problem_of(value), HasSubstr("--callers-certificate"));
}

} // namespace
} // namespace chicorylink::gateway
