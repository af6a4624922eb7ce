#include "chicorylink/gateway/chat_request.hpp"
#include "chicorylink/gateway/sse_splitter.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr base::tokens default_bound{100};

std::string failure_of(std::string_view body)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_CHECK(parse_chat_request(body, default_bound));
            return std::string{};
        },
        [](const base::error& failure) { return base::describe(failure); },
        [] { return std::string("untyped"); });
}

TEST(chat_request, reads_bounds_and_sets_the_limit)
{
    const auto request =
        parse_chat_request(R"({"model":"m","messages":[{"role":"user","content":"abc"}]})",
                           default_bound)
            .value();
    EXPECT_EQ(request.model, "m");
    EXPECT_FALSE(request.stream);
    EXPECT_EQ(request.answer_bound, default_bound);
    EXPECT_GE(request.prompt_bound, base::tokens{3});
    EXPECT_THAT(request.body, HasSubstr("\"max_tokens\":100"));
}

TEST(chat_request, errors_describe_the_problem)
{
    EXPECT_THAT(failure_of("{"), HasSubstr("not a JSON object"));
    EXPECT_THAT(failure_of("[]"), HasSubstr("not a JSON object"));
    EXPECT_THAT(failure_of(R"({"messages":[]})"), HasSubstr("no model"));
    EXPECT_THAT(failure_of(R"({"model":"m","messages":[1]})"), HasSubstr("no messages"));
    EXPECT_THAT(failure_of(R"({"model":"m","messages":[{}],"max_tokens":-1})"),
                HasSubstr("out of range"));
}

TEST(chat_event, counts_content_usage_and_end)
{
    const auto token = read_chat_event("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n");
    EXPECT_EQ(token.content, base::tokens{1});
    const auto last =
        read_chat_event("data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n");
    EXPECT_EQ(last.usage, base::tokens{7});
    EXPECT_TRUE(read_chat_event("data: [DONE]\n\n").done);
    EXPECT_FALSE(read_chat_event("data: {{{\n\n").done);
}

TEST(sse_splitter, returns_only_complete_events)
{
    sse_splitter splitter;
    EXPECT_THAT(splitter.feed("data: a"), IsEmpty());
    EXPECT_TRUE(splitter.has_partial());
    EXPECT_THAT(splitter.feed("\n\ndata: b\r\n\r\nda"),
                ElementsAre("data: a\n\n", "data: b\r\n\r\n"));
    EXPECT_EQ(event_data("event: x\r\ndata:  b\r\n\r\n"), "b");
}

TEST(sse_splitter, rejects_unterminated_event)
{
    sse_splitter splitter;
    splitter.feed(std::string(sse_splitter::max_event_bytes + 1, 'x'));
    EXPECT_TRUE(splitter.overflowed());
}

} // namespace
} // namespace chicorylink::gateway
