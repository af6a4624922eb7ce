#include "chicorylink/membership/codec.hpp"

#include <gtest/gtest.h>

namespace chicorylink::membership {
namespace {

const sender test_sender{base::vm_id{7}, base::incarnation{8}, 9};

bool decodes(std::span<const std::uint8_t> bytes)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode(bytes));
            return true;
        },
        [](const base::error&) { return false; }, [] { return false; });
}

message example(std::size_t index)
{
    const gone_note note{base::vm_id{1}, base::incarnation{2}, gone_proof::refused};
    const summary_row row{base::vm_id{1}, base::incarnation{2}, member_state::leaving};
    switch (index) {
    case 0:
        return heartbeat{.from = test_sender,
                         .sequence = 3,
                         .ack_sequence = 4,
                         .ack_process_bits = 5,
                         .config_known = base::config_version{6},
                         .list_sequence = 7,
                         .region_size = 3,
                         .leaving = true,
                         .load = {1, 2},
                         .introduction = identity{.name = "vm-a1",
                                                  .region = base::region_id{1},
                                                  .data_center = base::data_center_id{2},
                                                  .caller_address = "10.0.0.1:80",
                                                  .peer_address = "10.0.0.1:90",
                                                  .process = test_sender.process,
                                                  .started_ms = test_sender.started_ms},
                         .gone = {note},
                         .payloads = {{1, {1, 2, 3}}}};
    case 1:
        return summary{
            .from = test_sender, .live_vms = 2, .complete = true, .rows = {row}, .gone = {note}};
    case 2:
        return relay{.from = test_sender,
                     .regions = {{base::region_id{4}, 2, {5, 6}}},
                     .exceptions = {row},
                     .gone = {note}};
    case 3:
        return probe{test_sender, 1, 2, 3};
    case 4:
        return probe_ack{test_sender, 1, 2};
    case 5:
        return silence_query{test_sender, base::vm_id{1}, base::incarnation{2}};
    case 6:
        return silence_answer{test_sender, base::vm_id{1}, base::incarnation{2}, true};
    default:
        return gone_notice{test_sender, {note}};
    }
}

TEST(membership_codec, every_kind_survives_a_round_trip)
{
    for (std::size_t index = 0; index < std::variant_size_v<message>; ++index) {
        const auto bytes = encode(example(index));
        const auto decoded = decode(bytes).value();
        EXPECT_EQ(decoded.index(), index);
        EXPECT_EQ(sender_of(decoded).process, test_sender.process);
        EXPECT_EQ(encode(decoded), bytes);
    }
}

TEST(membership_codec, heartbeat_keeps_its_fields)
{
    const auto decoded = std::get<heartbeat>(decode(encode(example(0))).value());
    EXPECT_EQ(decoded.ack_process_bits, 5U);
    EXPECT_TRUE(decoded.leaving);
    ASSERT_TRUE(decoded.introduction.has_value());
    EXPECT_EQ(decoded.introduction->name, "vm-a1");
    EXPECT_EQ(decoded.payloads.at(0).content, (std::vector<std::uint8_t>{1, 2, 3}));
}

TEST(membership_codec, truncated_bytes_are_refused)
{
    const auto bytes = encode(example(0));
    for (std::size_t size = 0; size < bytes.size(); size += 3) {
        EXPECT_FALSE(decodes({bytes.data(), size})) << size;
    }
}

} // namespace
} // namespace chicorylink::membership
