#include "chicorylink/gateway/summary_receivers.hpp"
#include "chicorylink/membership/view.hpp"

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

constexpr base::region_id sending_region{1};

membership::view make_view(int regions, int vms_each)
{
    membership::view snapshot;
    for (int region = 1; region <= regions; ++region) {
        for (int vm = 0; vm < vms_each; ++vm) {
            membership::member entry;
            entry.name = std::to_string(region) + "-" + std::to_string(vm);
            entry.id = base::id_of<base::vm_id>(entry.name);
            entry.region = base::region_id{static_cast<std::uint64_t>(region)};
            entry.state = membership::member_state::live;
            snapshot.members.push_back(entry);
        }
    }
    return snapshot;
}

/// Counts the senders of the first region for each receiver in other regions.
std::map<base::vm_id, int> count_senders(membership::view snapshot, std::size_t& max_receivers)
{
    std::map<base::vm_id, int> sender_counts;
    for (const auto& vm : snapshot.members) {
        if (vm.region != sending_region || vm.state != membership::member_state::live) {
            continue;
        }
        snapshot.self = vm.id;
        const auto receivers = summary_receivers(snapshot, sending_region);
        max_receivers = std::max(max_receivers, receivers.size());
        for (const auto receiver : receivers) {
            ++sender_counts[receiver];
        }
    }
    return sender_counts;
}

TEST(summary_receivers, each_receiver_gets_one_sender_of_a_large_region)
{
    std::size_t max_receivers = 0;
    const auto sender_counts = count_senders(make_view(7, 57), max_receivers);
    EXPECT_EQ(sender_counts.size(), 6U * 57U);
    for (const auto& [vm, count] : sender_counts) {
        EXPECT_EQ(count, 1);
    }
    EXPECT_LT(max_receivers, 4U * 6U);
}

TEST(summary_receivers, each_receiver_gets_two_senders_of_a_small_region_also_after_a_loss)
{
    std::size_t max_receivers = 0;
    auto snapshot = make_view(3, 3);
    for (const auto& [vm, count] : count_senders(snapshot, max_receivers)) {
        EXPECT_EQ(count, 2);
    }
    snapshot.members.front().state = membership::member_state::gone;
    const auto sender_counts = count_senders(snapshot, max_receivers);
    EXPECT_EQ(sender_counts.size(), 6U);
    for (const auto& [vm, count] : sender_counts) {
        EXPECT_EQ(count, 2);
    }
}

} // namespace
} // namespace chicorylink::gateway
