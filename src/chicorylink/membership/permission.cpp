#include "chicorylink/membership/permission.hpp"

#include <algorithm>
#include <functional>

namespace chicorylink::membership {
namespace {

/// The latest time at which a process may act without a new list that shows it.
base::time_point isolation_limit(const membership_proofs& proofs, const timing& terms)
{
    return proofs.list_proof.value_or(proofs.started) + terms.isolation_term;
}

std::optional<base::time_point> by_list(const membership_proofs& proofs, const timing& terms)
{
    if (!proofs.list_proof) {
        return std::nullopt;
    }
    const bool alone = proofs.listed && proofs.region_size == 1;
    if (proofs.lapsed_at && !(alone && *proofs.list_proof > *proofs.lapsed_at)) {
        return std::nullopt;
    }
    return *proofs.list_proof + terms.fence_term;
}

std::optional<base::time_point> by_acknowledgements(const membership_proofs& proofs,
                                                    const timing& terms)
{
    const auto since = majority_since(proofs);
    if (!since || (proofs.lapsed_at && *since <= *proofs.lapsed_at)) {
        return std::nullopt;
    }
    return std::min(*since + terms.fence_term, isolation_limit(proofs, terms));
}

/// In a region of one or two VMs, no other VM takes over before the isolation term has passed.
std::optional<base::time_point> by_small_region(const membership_proofs& proofs,
                                                const timing& terms)
{
    const bool small = proofs.region_size >= 1 && proofs.region_size <= small_region;
    if (!proofs.list_proof || !proofs.listed || !small || proofs.lapsed_at) {
        return std::nullopt;
    }
    return isolation_limit(proofs, terms);
}

} // namespace

std::optional<base::time_point> majority_since(const membership_proofs& proofs)
{
    if (proofs.region_size <= 1) {
        return std::nullopt;
    }
    const std::size_t others_needed = proofs.region_size / 2;
    if (proofs.acks.size() < others_needed) {
        return std::nullopt;
    }
    auto acks = proofs.acks;
    const auto position = acks.begin() + static_cast<std::ptrdiff_t>(others_needed - 1);
    std::ranges::nth_element(acks, position, std::greater<>());
    return *position;
}

std::optional<base::time_point> permitted_until(const membership_proofs& proofs,
                                                const timing& terms)
{
    return std::max({by_list(proofs, terms), by_acknowledgements(proofs, terms),
                     by_small_region(proofs, terms)});
}

} // namespace chicorylink::membership
