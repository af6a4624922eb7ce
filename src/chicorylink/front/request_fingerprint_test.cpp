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
    EXPECT_EQ(request_fingerprint(first, nullptr, std::nullopt),
              request_fingerprint(again, nullptr, std::nullopt));
}

TEST(request_fingerprint, path_query_body_host_method_and_team_tell_requests_apart)
{
    const auto first = request_for("/a/b?c=d", "body");
    const auto hash = request_fingerprint(first, nullptr, std::nullopt);
    EXPECT_NE(hash, request_fingerprint(request_for("/a/b?c=e", "body"), nullptr, std::nullopt));
    EXPECT_NE(hash, request_fingerprint(request_for("/a/c?c=d", "body"), nullptr, std::nullopt));
    EXPECT_NE(hash, request_fingerprint(request_for("/a/b?c=d", "bodY"), nullptr, std::nullopt));
    auto other = first;
    other.head.fields[0].value = "i";
    EXPECT_NE(hash, request_fingerprint(other, nullptr, std::nullopt));
    other = first;
    other.head.method = "GET";
    EXPECT_NE(hash, request_fingerprint(other, nullptr, std::nullopt));
    fleet::team team;
    team.name = fleet::team_name{"cards"};
    EXPECT_NE(hash, request_fingerprint(first, &team, std::nullopt));
}

// Guards against sound requests that are taken for a deadly one since their bodies are equal: the
// prompts differ.
TEST(request_fingerprint, shared_parts_of_the_prompt_tell_requests_apart)
{
    const auto request = request_for("/a", "body");
    const auto with_parts = [&](const char* parts) {
        fleet::prompt prompt;
        prompt.parts = fleet::parse_prompt_parts("m", parts);
        return request_fingerprint(request, nullptr, prompt);
    };
    EXPECT_NE(with_parts("c0ffee:8,5e55:4,1:2"), with_parts("c0ffee:8,dead:4,1:2"));
    // The last part may be new each time.
    EXPECT_EQ(with_parts("c0ffee:8,5e55:4,1:2"), with_parts("c0ffee:8,5e55:4,2:2"));
}

} // namespace
} // namespace chicorylink::front
