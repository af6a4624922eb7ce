#include "chicorylink/wire/frame_codec.hpp"
#include "chicorylink/wire/frame_reader.hpp"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::wire {
namespace {

using bytes = std::vector<std::uint8_t>;

std::span<const std::uint8_t> body_of(const bytes& encoded)
{
    return std::span{encoded}.subspan(length_prefix_bytes);
}

bool decodes(std::span<const std::uint8_t> body)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode_frame(body));
            return true;
        },
        [](const base::error&) { return false; }, [] { return false; });
}

/// Returns the frame bodies that a reader finds, or nothing when it fails.
std::optional<std::vector<bytes>> read_in_pieces(const bytes& stream, std::size_t piece,
                                                 std::size_t limit)
{
    frame_reader reader{limit};
    std::vector<bytes> bodies;
    const auto take = [&](std::span<const std::uint8_t> body) -> base::result<void> {
        bodies.emplace_back(body.begin(), body.end());
        return {};
    };
    return base::leaf::try_handle_all(
        [&]() -> base::result<std::optional<std::vector<bytes>>> {
            for (std::size_t at = 0; at < stream.size(); at += piece) {
                const auto size = std::min(piece, stream.size() - at);
                BOOST_LEAF_CHECK(reader.read(std::span{stream}.subspan(at, size), take));
            }
            return std::optional{bodies};
        },
        [] { return std::optional<std::vector<bytes>>{}; });
}

TEST(frame_codec, round_trips_every_field)
{
    const bytes payload{1, 2, 3};
    bytes encoded;
    append_frame(encoded, {.kind = frame_kind::reset,
                           .sender = base::incarnation{7},
                           .stream = stream_number{8},
                           .channel = channel_id{9},
                           .credit = 10,
                           .reason = reset_reason::broken,
                           .vm = base::vm_id{11},
                           .version = 12,
                           .payload = payload});
    const auto value = decode_frame(body_of(encoded)).value();
    EXPECT_EQ(value.kind, frame_kind::reset);
    EXPECT_EQ(value.sender, base::incarnation{7});
    EXPECT_EQ(value.stream, stream_number{8});
    EXPECT_EQ(value.channel, channel_id{9});
    EXPECT_EQ(value.credit, 10U);
    EXPECT_EQ(value.reason, reset_reason::broken);
    EXPECT_EQ(value.vm, base::vm_id{11});
    EXPECT_EQ(value.version, 12);
    EXPECT_TRUE(std::ranges::equal(value.payload, payload));
    EXPECT_LE(encoded.size(), payload.size() + envelope_bytes);
}

TEST(frame_codec, refuses_every_truncation_and_unknown_kinds)
{
    const bytes payload(100, 5);
    bytes encoded;
    append_frame(encoded, {.kind = frame_kind::data, .payload = payload});
    const auto body = body_of(encoded);
    for (std::size_t size = 0; size < body.size(); ++size) {
        EXPECT_FALSE(decodes(body.first(size))) << size;
    }
    encoded.clear();
    append_frame(encoded, {.kind = static_cast<frame_kind>(200)});
    EXPECT_FALSE(decodes(body_of(encoded)));
    encoded.clear();
    append_frame(encoded, {.reason = static_cast<reset_reason>(200)});
    EXPECT_FALSE(decodes(body_of(encoded)));
}

TEST(frame_codec, accepts_arbitrary_bytes_without_crashing)
{
    const auto params = rc::detail::TestParams{.seed = 20, .maxSuccess = 2000};
    const auto outcome = rc::detail::checkTestable(
        [](const bytes& random_bytes) { [[maybe_unused]] const bool read = decodes(random_bytes); },
        rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>());
}

TEST(frame_reader, splits_frames_from_pieces_of_any_size)
{
    bytes stream;
    for (std::uint16_t i = 0; i < 10; ++i) {
        const bytes payload(std::size_t{7} * i, 1);
        append_frame(stream, {.kind = frame_kind::data, .version = i, .payload = payload});
    }
    for (const std::size_t piece : {1, 2, 3, 5, 64, 4096}) {
        const auto bodies = read_in_pieces(stream, piece, 1000);
        ASSERT_TRUE(bodies && bodies->size() == 10) << piece;
        for (std::uint16_t i = 0; i < 10; ++i) {
            EXPECT_EQ(decode_frame((*bodies)[i]).value().version, i);
        }
    }
}

TEST(frame_reader, refuses_an_oversized_frame_by_its_length_alone)
{
    bytes encoded;
    const bytes payload(500, 1);
    append_frame(encoded, {.payload = payload});
    EXPECT_TRUE(read_in_pieces(encoded, 4096, 1000));
    EXPECT_FALSE(read_in_pieces(encoded, 4096, 400));
    EXPECT_FALSE(read_in_pieces({0xff, 0xff, 0xff, 0xff}, 4, 1U << 20U));
}

} // namespace
} // namespace chicorylink::wire
