#include "chicorylink/gateway/credentials.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::Pair;

TEST(credentials, finds_keys_in_headers_query_and_cookies)
{
    EXPECT_THAT(presented_keys({.headers = {{"authorization", "BEARER  k1 "}}}), ElementsAre("k1"));
    EXPECT_THAT(presented_keys({.headers = {{"x-api-key", "k1"}, {"x-api-key", "k2"}}}),
                ElementsAre("k1", "k2"));
    EXPECT_THAT(presented_keys({.query = "a=1&API_KEY=k%31&b=2"}), ElementsAre("k1"));
    EXPECT_THAT(presented_keys({.headers = {{"cookie", "x=1; api_key=k1"}}}), ElementsAre("k1"));
    EXPECT_THAT(presented_keys({.query = "key=k1"}), IsEmpty());
}

TEST(credentials, forwards_only_allowed_headers_without_keys)
{
    const header_list headers{
        {"authorization", "Bearer k1"}, {"cookie", "s=1"},     {"x-api-key", "k1"},
        {"content-type", "text/plain"}, {"accept", "text/k1"}, {"x-other", "1"}};
    EXPECT_THAT(target_headers(headers, {"k1"}), ElementsAre(Pair("content-type", "text/plain")));
}

TEST(credentials, removes_keys_from_the_query)
{
    EXPECT_EQ(target_query("a=1&Api_Key=zz&b=k%31&c=3", {"k1"}), "a=1&c=3");
    EXPECT_EQ(target_query("", {"k1"}), "");
}

TEST(credentials, detects_percent_encoded_keys)
{
    EXPECT_TRUE(contains_key("/x/%6b1/y", {"k1"}));
    EXPECT_FALSE(contains_key("/x/k2", {"k1"}));
}

} // namespace
} // namespace chicorylink::gateway
