#include "chicorylink/fleet/team.hpp"
#include "chicorylink/front/incoming_request.hpp"
#include "chicorylink/front/request_fingerprint.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

incoming_request request_for(const std::string& target, const std::string& body)
{
    incoming_request request;
    request.head.method = "POST";
    request.head.target = target;
    request.head.fields = {{"Host", "h"}, {"X-Number", "1"}};
    request.body = body;
    request.id = "first";
    return request;
}

TEST(request_fingerprint, a_request_that_comes_again_has_the_same)
{
    const auto first = request_for("/a/b?c=d", "body");
    auto again = first;
    again.id = "second";
    again.head.fields[1].value = "2";
    EXPECT_EQ(request_fingerprint(first, nullptr), request_fingerprint(again, nullptr));
}

TEST(request_fingerprint, path_query_body_host_method_and_team_tell_requests_apart)
{
    const auto first = request_for("/a/b?c=d", "body");
    const auto hash = request_fingerprint(first, nullptr);
    EXPECT_NE(hash, request_fingerprint(request_for("/a/b?c=e", "body"), nullptr));
    EXPECT_NE(hash, request_fingerprint(request_for("/a/c?c=d", "body"), nullptr));
    EXPECT_NE(hash, request_fingerprint(request_for("/a/b?c=d", "bodY"), nullptr));
    auto other = first;
    other.head.fields[0].value = "i";
    EXPECT_NE(hash, request_fingerprint(other, nullptr));
    other = first;
    other.head.method = "GET";
    EXPECT_NE(hash, request_fingerprint(other, nullptr));
    fleet::team team;
    team.name = fleet::team_name{"cards"};
    EXPECT_NE(hash, request_fingerprint(first, &team));
}

} // namespace
} // namespace chicorylink::front
