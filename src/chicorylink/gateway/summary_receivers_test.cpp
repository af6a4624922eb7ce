#include "chicorylink/gateway/summary_receivers.hpp"
#include "chicorylink/membership/view.hpp"

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

constexpr base::region_id here{1};

membership::view fleet_of(int regions, int vms_each)
{
    membership::view seen;
    for (int region = 1; region <= regions; ++region) {
        for (int vm = 0; vm < vms_each; ++vm) {
            membership::member one;
            one.name = std::to_string(region) + "-" + std::to_string(vm);
            one.id = base::id_of<base::vm_id>(one.name);
            one.region = base::region_id{static_cast<std::uint64_t>(region)};
            one.state = membership::member_state::live;
            seen.members.push_back(one);
        }
    }
    return seen;
}

/// How often each VM of other regions hears VMs of the first.
std::map<base::vm_id, int> heard_by(membership::view seen, std::size_t& most_sent)
{
    std::map<base::vm_id, int> heard;
    for (const auto& vm : seen.members) {
        if (vm.region != here || vm.state != membership::member_state::live) {
            continue;
        }
        seen.self = vm.id;
        const auto receivers = summary_receivers(seen, here);
        most_sent = std::max(most_sent, receivers.size());
        for (const auto receiver : receivers) {
            ++heard[receiver];
        }
    }
    return heard;
}

TEST(summary_receivers, every_vm_elsewhere_hears_one_vm_of_a_large_region)
{
    std::size_t most_sent = 0;
    const auto heard = heard_by(fleet_of(7, 57), most_sent);
    EXPECT_EQ(heard.size(), 6U * 57U);
    for (const auto& [vm, times] : heard) {
        EXPECT_EQ(times, 1);
    }
    EXPECT_LT(most_sent, 4U * 6U);
}

TEST(summary_receivers, two_vms_of_a_small_region_are_heard_and_a_lost_one_is_replaced)
{
    std::size_t most_sent = 0;
    auto seen = fleet_of(3, 3);
    for (const auto& [vm, times] : heard_by(seen, most_sent)) {
        EXPECT_EQ(times, 2);
    }
    seen.members.front().state = membership::member_state::gone;
    const auto heard = heard_by(seen, most_sent);
    EXPECT_EQ(heard.size(), 6U);
    for (const auto& [vm, times] : heard) {
        EXPECT_EQ(times, 2);
    }
}

} // namespace
} // namespace chicorylink::gateway
