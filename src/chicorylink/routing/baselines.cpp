#include "chicorylink/routing/baselines.hpp"

#include "chicorylink/routing/rendezvous.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

namespace chicorylink::routing {
namespace {

/// A region that a baseline policy may choose, including the local one.
struct option {
    base::region_id region;
    double slots = 0;
    double free_slots = 0;
};

std::vector<std::size_t> live_targets(const region_state& state)
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < state.targets.size(); ++index) {
        if (state.targets[index].availability == target_availability::live) {
            found.push_back(index);
        }
    }
    return found;
}

option local_option(const region_state& state)
{
    option local{.region = state.region};
    for (const auto index : live_targets(state)) {
        const auto& target = state.targets[index];
        local.slots += target.slots;
        local.free_slots += static_cast<double>(target.slots) - target.reported_load;
    }
    return local;
}

std::vector<option> options_of(const region_state& state, const request& req,
                               const rules::team& team, base::time_point now)
{
    std::vector<option> options;
    const auto local = local_option(state);
    if (local.slots > 0) {
        options.push_back(local);
    }
    for (const auto& other : state.others) {
        if (other.slots > 0 && reachable(other, now) &&
            may_forward(state, req, team, other.region)) {
            options.push_back({other.region, static_cast<double>(other.slots),
                               static_cast<double>(other.free_slots)});
        }
    }
    return options;
}

choice to_region(base::region_id destination)
{
    return {choice_kind::other_region, 0, destination, 0};
}

choice to_target(std::size_t index)
{
    return {choice_kind::target, index, {}, 0};
}

/// Maps a point in [0, 1) to a region, with regions weighted by their slots.
base::region_id region_at(const std::vector<option>& options, double point)
{
    double total = 0;
    for (const auto& each : options) {
        total += each.slots;
    }
    auto remaining = point * total;
    for (const auto& each : options) {
        remaining -= each.slots;
        if (remaining < 0) {
            return each.region;
        }
    }
    return options.back().region;
}

double unit_point(std::uint64_t bits)
{
    constexpr std::uint64_t mantissa_shift = 11;
    constexpr double mantissa_range = 9007199254740992.0;
    return static_cast<double>(bits >> mantissa_shift) / mantissa_range;
}

choice least_loaded_local(const region_state& state, std::uint64_t random_bits)
{
    const auto live = live_targets(state);
    if (live.empty()) {
        return {};
    }
    const auto first = random_bits % live.size();
    auto best = live[first];
    for (std::size_t step = 1; step < live.size(); ++step) {
        const auto index = live[(first + step) % live.size()];
        if (state.targets[index].reported_load < state.targets[best].reported_load) {
            best = index;
        }
    }
    return to_target(best);
}

} // namespace

choice random_policy(const region_state& state, const request& req, const rules::team& team,
                     const rules::policy& /*weights*/, base::time_point now,
                     std::uint64_t random_bits)
{
    const auto options = options_of(state, req, team, now);
    if (options.empty()) {
        return {};
    }
    const auto destination = region_at(options, unit_point(random_bits));
    if (destination != state.region) {
        return to_region(destination);
    }
    const auto live = live_targets(state);
    return to_target(live[rendezvous_weight(random_bits, 1) % live.size()]);
}

choice round_robin_policy(const region_state& state, const request& req, const rules::team& team,
                          const rules::policy& /*weights*/, base::time_point now,
                          std::uint64_t /*random_bits*/)
{
    const auto options = options_of(state, req, team, now);
    if (options.empty()) {
        return {};
    }
    double total = 0;
    for (const auto& each : options) {
        total += each.slots;
    }
    const auto cycle = static_cast<std::uint64_t>(total);
    const auto destination = region_at(options, static_cast<double>(state.decision_count % cycle) /
                                                    static_cast<double>(cycle));
    if (destination != state.region) {
        return to_region(destination);
    }
    const auto live = live_targets(state);
    return to_target(live[state.decision_count % live.size()]);
}

choice least_load_policy(const region_state& state, const request& req, const rules::team& team,
                         const rules::policy& /*weights*/, base::time_point now,
                         std::uint64_t random_bits)
{
    const auto options = options_of(state, req, team, now);
    if (options.empty()) {
        return {};
    }
    const auto best = std::max_element(
        options.begin(), options.end(), [](const option& left, const option& right) {
            return left.free_slots / left.slots < right.free_slots / right.slots;
        });
    if (best->region != state.region) {
        return to_region(best->region);
    }
    return least_loaded_local(state, random_bits);
}

choice affinity_policy(const region_state& state, const request& req, const rules::team& team,
                       const rules::policy& weights, base::time_point now,
                       std::uint64_t random_bits)
{
    if (req.prefix.session == prefix_hash{}) {
        return random_policy(state, req, team, weights, now, random_bits);
    }
    const auto options = options_of(state, req, team, now);
    if (options.empty()) {
        return {};
    }
    const auto by_id = [](const option& left, const option& right) {
        return left.region < right.region;
    };
    auto sorted = options;
    std::sort(sorted.begin(), sorted.end(), by_id);
    const auto point = unit_point(rendezvous_weight(req.prefix.session.value(), 1));
    const auto destination = region_at(sorted, point);
    if (destination != state.region) {
        return to_region(destination);
    }
    const auto winner = rendezvous_winner(state, req.prefix.session);
    return winner < state.targets.size() ? to_target(winner) : choice{};
}

choice local_only_policy(const region_state& state, const request& /*req*/,
                         const rules::team& /*team*/, const rules::policy& /*weights*/,
                         base::time_point /*now*/, std::uint64_t random_bits)
{
    return least_loaded_local(state, random_bits);
}

} // namespace chicorylink::routing
