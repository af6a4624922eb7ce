#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/text.hpp"
#include "chicorylink/base/units.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::base {
namespace {

using ::testing::HasSubstr;

TEST(ids, same_name_gives_same_id)
{
    EXPECT_EQ(id_of<team_id>("support"), id_of<team_id>("support"));
    EXPECT_NE(id_of<team_id>("support"), id_of<team_id>("sales"));
}

TEST(units, quantities_add_and_compare)
{
    EXPECT_EQ(tokens{3} + tokens{4}, tokens{7});
    EXPECT_LT(tokens{3} - tokens{4}, tokens{0});
}

TEST(errors, description_includes_remedy)
{
    const error failure{error_kind::invalid_setting, "the port 0 is out of range",
                        "choose one from 1 to 65535"};
    EXPECT_EQ(describe(failure), "the port 0 is out of range; choose one from 1 to 65535");
}

TEST(errors, handler_receives_error_kind)
{
    const auto kind = leaf::try_handle_all(
        []() -> result<error_kind> { return fail(error_kind::stale, "old", "ask again"); },
        [](const error& failure) { return failure.kind; }, [] { return error_kind::io; });
    EXPECT_EQ(kind, error_kind::stale);
}

// Guards against log lines that are no JSON or of any length, because they quote what another
// program wrote.
TEST(text, an_excerpt_is_short_printable_ascii)
{
    EXPECT_EQ(printable_excerpt("plain text", 10), "plain text");
    EXPECT_EQ(printable_excerpt("a\xff\n\x7f\xc3\xa9", 10), "a?????");
    EXPECT_EQ(printable_excerpt(std::string(100'000, 'x'), 3), "xxx...");
}

TEST(secret, sha256_matches_published_test_vector)
{
    EXPECT_EQ(to_hex(sha256("a", "bc")),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(secret, parses_hex_and_rejects_invalid_text)
{
    const auto value = sha256("salt", "text");
    const auto parsed = digest_from_hex(to_hex(value));
    ASSERT_TRUE(parsed.has_value());
    EXPECT_TRUE(equal_constant_time(*parsed, value));
    EXPECT_FALSE(digest_from_hex("zz").has_value());
}

TEST(metrics, renders_counters_and_quantiles)
{
    metrics registry;
    registry.add("requests_total{kind=\"chat\"}", 2);
    for (int i = 0; i <= 100; ++i) {
        registry.observe("latency_seconds", i);
    }
    EXPECT_EQ(registry.counter("requests_total{kind=\"chat\"}"), 2U);
    EXPECT_THAT(registry.render(), HasSubstr("requests_total{kind=\"chat\"} 2\n"));
    EXPECT_THAT(registry.render(), HasSubstr("latency_seconds{quantile=\"0.5\"} 50\n"));
    EXPECT_THAT(registry.render(), HasSubstr("latency_seconds_count 101\n"));
}

} // namespace
} // namespace chicorylink::base
