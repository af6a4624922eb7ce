#include "chicorylink/platform/load_report.hpp"
#include "chicorylink/platform/target_list.hpp"
#include "chicorylink/platform/vm_list.hpp"

#include <gtest/gtest.h>

namespace chicorylink::platform {
namespace {

template <class Result>
bool failed(Result (*parse)(std::string_view), std::string_view text)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(parse(text));
            return false;
        },
        [](const base::error& failure) {
            return failure.kind == base::error_kind::invalid_message;
        },
        [] { return false; });
}

TEST(vm_list, reads_states_and_addresses)
{
    const auto list = parse_vm_list(R"({"sequence": 4, "age_ms": 20, "vms": [{"name": "v",
        "region": "a", "data_center": "a-1", "callers": "127.0.0.1:1", "peers": "127.0.0.1:2",
        "state": "leaving"}]})")
                          .value();
    ASSERT_EQ(list.vms.size(), 1U);
    EXPECT_EQ(list.sequence, 4U);
    EXPECT_EQ(list.vms[0].name, "v");
    EXPECT_TRUE(list.vms[0].leaving);
    EXPECT_EQ(list.vms[0].peer_address, "127.0.0.1:2");
}

TEST(vm_list, refuses_broken_text)
{
    EXPECT_TRUE(failed(&parse_vm_list, "{"));
    EXPECT_TRUE(failed(&parse_vm_list, R"({"sequence": "x", "vms": []})"));
    EXPECT_TRUE(failed(&parse_vm_list, R"([1, 2])"));
    EXPECT_TRUE(failed(&parse_target_list, R"({"sequence": 1})"));
    EXPECT_TRUE(failed(&parse_load_report, R"({"running": -"})"));
}

TEST(load_report, reads_body_and_header)
{
    const auto report =
        parse_load_report(R"({"running": 3, "waiting": 1, "slots": 8, "cached": ["ff"]})").value();
    EXPECT_EQ(report.running, 3U);
    ASSERT_EQ(report.cached.size(), 1U);
    EXPECT_EQ(report.cached[0], 255U);
    const auto header = parse_load_header("running=3;waiting=0;slots=8");
    ASSERT_TRUE(header.has_value());
    EXPECT_EQ(header->slots, 8U);
    EXPECT_FALSE(parse_load_header("running=3;waiting=;slots=8").has_value());
}

} // namespace
} // namespace chicorylink::platform
