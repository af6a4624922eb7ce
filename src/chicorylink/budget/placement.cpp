#include "chicorylink/budget/placement.hpp"

#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

constexpr std::array<std::uint32_t, 6> part_counts = {12, 6, 4, 3, 2, 1};
/// The minimum burst of a part, so that one request seldom needs tokens of several parts.
constexpr std::int64_t min_part_burst_tokens = 5'000;

std::vector<base::vm_id> live_vms(base::region_id region, const membership::view& members)
{
    std::vector<base::vm_id> live;
    for (const auto& each : members.members) {
        if (each.region == region && each.state == membership::member_state::live) {
            live.push_back(each.id);
        }
    }
    return live;
}

std::uint64_t rank_of(std::size_t slot, base::vm_id vm)
{
    return base::hash_pair(slot + 1, vm.value());
}

/// Assigns each slot of a stripe to the highest-ranked VM that has room left.
void assign_stripe(std::size_t first, const std::vector<base::vm_id>& live, slot_owners& owners)
{
    const auto even_load = stripe_width / live.size();
    auto extra_left = stripe_width % live.size();
    std::vector<std::size_t> loads(live.size(), 0);
    for (std::size_t slot = first; slot < first + stripe_width; ++slot) {
        std::size_t best = live.size();
        std::uint64_t best_rank = 0;
        for (std::size_t index = 0; index < live.size(); ++index) {
            const bool has_room =
                loads[index] < even_load || (loads[index] == even_load && extra_left > 0);
            const auto rank = rank_of(slot, live[index]);
            if (has_room && (best == live.size() || rank > best_rank)) {
                best = index;
                best_rank = rank;
            }
        }
        if (loads[best] == even_load) {
            --extra_left;
        }
        ++loads[best];
        owners[slot] = live[best];
    }
}

} // namespace

split split_of(const rules::team& team_rules)
{
    split team_split;
    team_split.regions = rules::allowed_regions(team_rules);
    const auto count =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(team_split.regions.size()));
    const auto region_burst = team_rules.burst.value() / count;
    for (const auto parts : part_counts) {
        if (parts == 1 || region_burst / parts >= min_part_burst_tokens) {
            team_split.parts = parts;
            break;
        }
    }
    return team_split;
}

std::uint64_t digest_of(const split& team_split)
{
    std::uint64_t digest = team_split.parts;
    for (const auto region : team_split.regions) {
        digest = base::hash_pair(digest, region.value());
    }
    return digest;
}

slot_set slots_of(base::team_id team, std::uint32_t parts)
{
    const auto stripe = team.value() % stripe_count;
    const auto offset = team.value() / stripe_count % stripe_width;
    const auto step = stripe_width / parts;
    slot_set slots;
    for (std::uint32_t part = 0; part < parts; ++part) {
        slots.set(stripe * stripe_width + (offset + part * step) % stripe_width);
    }
    return slots;
}

std::int64_t divisor_of(const split& team_split, base::team_id team, base::region_id region,
                        std::size_t slot)
{
    const bool allowed = std::ranges::find(team_split.regions, region) != team_split.regions.end();
    if (!allowed || !slots_of(team, team_split.parts).test(slot)) {
        return 0;
    }
    return static_cast<std::int64_t>(team_split.regions.size()) * team_split.parts;
}

slot_owners owners_of(base::region_id region, const membership::view& members)
{
    slot_owners owners{};
    const auto live = live_vms(region, members);
    if (live.empty()) {
        return owners;
    }
    for (std::size_t stripe = 0; stripe < stripe_count; ++stripe) {
        assign_stripe(stripe * stripe_width, live, owners);
    }
    return owners;
}

std::vector<base::vm_id> preferred_vms_of(const rules::team& team_rules, base::region_id region,
                                          const membership::view& members, std::size_t count)
{
    auto live = live_vms(region, members);
    if (live.empty()) {
        return {};
    }
    const auto slots = slots_of(team_rules.id, split_of(team_rules).parts);
    slot_owners owners{};
    assign_stripe(team_rules.id.value() % stripe_count * stripe_width, live, owners);
    const auto parts_of = [&](base::vm_id vm) {
        std::size_t parts = 0;
        for (std::size_t slot = 0; slot < slot_count; ++slot) {
            parts += slots.test(slot) && owners[slot] == vm ? 1 : 0;
        }
        return parts;
    };
    std::ranges::sort(live, [&](base::vm_id left, base::vm_id right) {
        const auto left_parts = parts_of(left);
        const auto right_parts = parts_of(right);
        if (left_parts != right_parts) {
            return left_parts > right_parts;
        }
        return base::hash_pair(team_rules.id.value(), left.value()) >
               base::hash_pair(team_rules.id.value(), right.value());
    });
    live.resize(std::min(live.size(), count));
    return live;
}

} // namespace chicorylink::budget
