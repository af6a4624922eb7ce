#include "chicorylink/dispatch/codec.hpp"
#include "chicorylink/dispatch/key_memory.hpp"

#include <gtest/gtest.h>

namespace chicorylink::dispatch {
namespace {

constexpr base::time_point start{};
constexpr base::milliseconds retention{1'000};
constexpr attempt_id holder{base::incarnation{5}, 1};
const base::digest request = base::sha256("", "body");

base::digest name(const std::string& key)
{
    return key_memory::name_of(base::team_id{1}, base::route_id{2}, key);
}

TEST(key_memory, recognises_repeats_until_it_forgets)
{
    key_memory memory{2, retention};
    EXPECT_EQ(memory.begin(name("a"), request, holder, start).verdict, ticket_verdict::run);
    EXPECT_EQ(memory.begin(name("a"), request, holder, start).verdict, ticket_verdict::in_progress);
    memory.end(name("a"), holder, outcome::ran, std::make_shared<stored_answer>());
    EXPECT_EQ(memory.begin(name("a"), request, holder, start).verdict, ticket_verdict::answered);
    EXPECT_NE(key_memory::name_of(base::team_id{9}, base::route_id{2}, "a"), name("a"));
    EXPECT_EQ(memory.begin(name("b"), request, holder, start).verdict, ticket_verdict::run);
    EXPECT_EQ(memory.begin(name("c"), request, holder, start).verdict, ticket_verdict::forgotten);
    EXPECT_EQ(memory.begin(name("c"), request, holder, start + retention).verdict,
              ticket_verdict::run);
    EXPECT_EQ(memory.size(), 1U);
}

TEST(codec, gives_headers_back_and_refuses_a_second_hop)
{
    const forward_header forward{.attempt = holder,
                                 .attempts = 2,
                                 .version = base::config_version{3},
                                 .team = base::team_id{4},
                                 .route = base::route_id{5},
                                 .time_left = base::milliseconds{6},
                                 .first_attempt = true,
                                 .ticket = "t",
                                 .method = "POST",
                                 .path = "/book?x=1",
                                 .content_type = "text/plain"};
    const auto bytes = encode(forward);
    const auto read = decode_forward(bytes).value();
    EXPECT_EQ(read.attempt, holder);
    EXPECT_EQ(read.attempts, 2);
    EXPECT_EQ(read.team, base::team_id{4});
    EXPECT_EQ(read.time_left, base::milliseconds{6});
    EXPECT_TRUE(read.first_attempt);
    EXPECT_EQ(read.path, "/book?x=1");
    const auto fails = [](std::span<const std::uint8_t> given) {
        return base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode_forward(given));
                return false;
            },
            [] { return true; });
    };
    EXPECT_TRUE(fails(std::span{bytes}.first(bytes.size() / 2)));
    auto second = forward;
    second.hops = 2;
    EXPECT_TRUE(fails(encode(second)));
    const auto reply = encode(reply_header{.attempt = holder,
                                           .result = outcome::ran,
                                           .verdict = ticket_verdict::answered,
                                           .status = 201});
    EXPECT_TRUE(fails(reply));
    EXPECT_EQ(decode_reply(reply).value().status, 201);
    EXPECT_EQ(decode_reply(reply).value().verdict, ticket_verdict::answered);
}

} // namespace
} // namespace chicorylink::dispatch
