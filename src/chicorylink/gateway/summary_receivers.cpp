#include "chicorylink/gateway/summary_receivers.hpp"

#include "chicorylink/membership/view.hpp"

#include <algorithm>

namespace chicorylink::gateway {
namespace {

/// Up to this number of live VMs in a region, each receiver has two senders.
constexpr std::size_t small_region_vms = 8;

/// Number of senders that a receiver's rendezvous hash ranks before `sender`.
std::size_t rank_of(base::vm_id sender, base::vm_id receiver,
                    const std::vector<base::vm_id>& senders)
{
    const auto sender_score = base::hash_pair(receiver.value(), sender.value());
    return static_cast<std::size_t>(
        std::count_if(senders.begin(), senders.end(), [&](base::vm_id other) {
            return base::hash_pair(receiver.value(), other.value()) > sender_score;
        }));
}

} // namespace

std::vector<base::vm_id> summary_receivers(const membership::view& snapshot, base::region_id region)
{
    std::vector<base::vm_id> senders;
    for (const auto& vm : snapshot.members) {
        if (vm.region == region && (vm.id == snapshot.self || membership::takes_work(vm))) {
            senders.push_back(vm.id);
        }
    }
    const std::size_t senders_per_receiver = senders.size() <= small_region_vms ? 2 : 1;
    std::vector<base::vm_id> receivers;
    for (const auto& vm : snapshot.members) {
        if (vm.region != region && rank_of(snapshot.self, vm.id, senders) < senders_per_receiver) {
            receivers.push_back(vm.id);
        }
    }
    return receivers;
}

} // namespace chicorylink::gateway
