#include "chicorylink/membership/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::membership {
namespace {

std::vector<base::vm_id> vms_in(const view& from, base::data_center_id data_center,
                                member_state state)
{
    std::vector<base::vm_id> found;
    for (const auto& each : from.members) {
        if (each.data_center == data_center && each.state == state) {
            found.push_back(each.id);
        }
    }
    return found;
}

} // namespace

std::vector<base::vm_id> first_by_rendezvous(const std::vector<base::vm_id>& candidates,
                                             std::uint64_t key, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, base::vm_id>> scored;
    scored.reserve(candidates.size());
    for (const auto id : candidates) {
        scored.emplace_back(base::hash_pair(id.value(), key), id);
    }
    count = std::min(count, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>());
    std::vector<base::vm_id> first;
    first.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        first.push_back(scored[i].second);
    }
    return first;
}

std::vector<base::vm_id> delegates_of(const view& from, base::data_center_id data_center)
{
    auto candidates = vms_in(from, data_center, member_state::live);
    if (candidates.empty()) {
        candidates = vms_in(from, data_center, member_state::leaving);
    }
    return first_by_rendezvous(candidates, data_center.value(), delegate_count);
}

base::vm_id duty_holder(const view& from, base::data_center_id data_center, std::uint64_t duty)
{
    const auto key = base::hash_pair(data_center.value(), duty);
    const auto first = first_by_rendezvous(vms_in(from, data_center, member_state::live), key, 1);
    return first.empty() ? base::vm_id{} : first.front();
}

} // namespace chicorylink::membership
