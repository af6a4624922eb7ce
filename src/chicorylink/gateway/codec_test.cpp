#include "chicorylink/gateway/codec.hpp"

#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

constexpr std::size_t prefix_bytes = 4;

template <class Decode>
bool refused(Decode decode, std::span<const std::uint8_t> bytes)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode(bytes));
            return false;
        },
        [](const base::error&) { return true; }, [] { return false; });
}

forwarded_request sample()
{
    forwarded_request message;
    message.team = base::id_of<base::team_id>("t");
    message.key_digest = base::sha256("s", "k");
    message.request_id = "1-2";
    message.method = "POST";
    message.headers = {{"content-type", "application/json"}};
    message.body_bytes = 10;
    message.deadline = base::milliseconds{500};
    message.blocks = {1, 2};
    return message;
}

TEST(forwarded_request, round_trip)
{
    const auto message = sample();
    const auto read = decode_forwarded_request(encode(message)).value();
    EXPECT_EQ(read.team, message.team);
    EXPECT_EQ(read.key_digest, message.key_digest);
    EXPECT_EQ(read.headers, message.headers);
    EXPECT_EQ(read.deadline, message.deadline);
    EXPECT_EQ(read.blocks, message.blocks);
}

TEST(forwarded_request, rejects_second_hop_and_malformed_bytes)
{
    auto message = sample();
    message.hop = 2;
    EXPECT_TRUE(refused(decode_forwarded_request, encode(message)));
    auto bytes = encode(sample());
    bytes.resize(bytes.size() / 2);
    EXPECT_TRUE(refused(decode_forwarded_request, bytes));
    EXPECT_TRUE(refused(decode_forwarded_request, std::vector<std::uint8_t>(64, 0xFF)));
}

TEST(response_head, round_trip_after_the_length)
{
    const response_head message{429, {{"Retry-After", "2"}}, false, run_outcome::not_run, 7};
    const auto bytes = encode(message);
    const auto read = decode_response_head(std::span(bytes).subspan(prefix_bytes)).value();
    EXPECT_EQ(read.status, 429);
    EXPECT_EQ(read.headers, message.headers);
    EXPECT_EQ(read.outcome, run_outcome::not_run);
    EXPECT_EQ(read.body_bytes, 7U);
}

} // namespace
} // namespace chicorylink::gateway
