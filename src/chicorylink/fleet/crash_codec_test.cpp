#include "chicorylink/fleet/crash_report.hpp"
#include "chicorylink/fleet/fleet_heartbeat_generated.h"
#include "chicorylink/fleet/fleet_placement_generated.h"
#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/placement_codec.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;

constexpr crash_subject request_subject{11, crash_subject_kind::whole_request};

crash_reports sample_reports()
{
    crash_reports reports;
    reports.crashes.push_back(
        {crash_subject{11}, {base::target_id{12}, 1'700'000'000'000}, milliseconds{13}});
    reports.crashes.push_back({crash_subject{21}, {base::target_id{22}, 23}, milliseconds{24}});
    reports.crashes.push_back({request_subject, {base::target_id{32}, 33}, milliseconds{34}});
    reports.survivals.push_back({crash_subject{31}, milliseconds{32}});
    reports.survivals.push_back({request_subject, milliseconds{42}});
    reports.quarantines.push_back({crash_subject{41}, 2, milliseconds{240'000}});
    reports.quarantines.push_back({request_subject, 1, milliseconds{120'000}});
    return reports;
}

heartbeat heartbeat_with(const crash_reports& reports)
{
    heartbeat message;
    message.from.name = vm_name{"v"};
    message.from.ip = "10.0.0.1";
    message.digests.emplace_back().crashes = reports;
    return message;
}

TEST(crash_codec, reports_travel_with_digests)
{
    const auto sent = sample_reports();
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_heartbeat(encode(heartbeat_with(sent))));
            EXPECT_EQ(decoded.digests.at(0).crashes, sent);
            return {};
        },
        [] { FAIL(); });
}

TEST(crash_codec, reports_without_quarantines_travel_with_placement_messages)
{
    placement_message message;
    message.crashes = sample_reports();
    auto expected = message.crashes;
    expected.quarantines.clear();
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_placement(encode(message)));
            EXPECT_EQ(decoded.crashes, expected);
            return {};
        },
        [] { FAIL(); });
}

// Digests go to all VMs many times a second; nearly all of them have no such reports.
TEST(crash_codec, absent_reports_take_no_bytes_of_their_own)
{
    const auto bytes = encode(heartbeat_with({}));
    const auto* digest = codec::GetHeartbeat(bytes.data())->digests()->Get(0);
    EXPECT_EQ(digest->crashes(), nullptr);
    EXPECT_EQ(digest->survivals(), nullptr);
    EXPECT_EQ(digest->quarantines(), nullptr);
    EXPECT_EQ(digest->request_crashes(), nullptr);
    EXPECT_EQ(digest->request_survivals(), nullptr);
    EXPECT_EQ(digest->request_quarantines(), nullptr);
    const auto placement_bytes = encode(placement_message{});
    const auto* placement = codec::GetPlacementMessage(placement_bytes.data());
    EXPECT_EQ(placement->crashes(), nullptr);
    EXPECT_EQ(placement->survivals(), nullptr);
    EXPECT_EQ(placement->request_crashes(), nullptr);
    EXPECT_EQ(placement->request_survivals(), nullptr);
}

} // namespace
} // namespace chicorylink::fleet
