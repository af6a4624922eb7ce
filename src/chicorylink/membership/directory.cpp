#include "chicorylink/membership/directory.hpp"

#include <algorithm>
#include <compare>
#include <map>

namespace chicorylink::membership {
namespace {

constexpr base::milliseconds min_lifetime{10'000};
constexpr std::uint64_t lifetime_jitter_ms = 10'000;
/// A VM is overloaded when its load exceeds this multiple of its region's mean and the floor.
constexpr std::uint64_t overload_factor = 2;
constexpr std::uint64_t overload_floor = 16;

std::uint64_t work_of(const member& candidate)
{
    return std::uint64_t{candidate.load.running} + candidate.load.waiting;
}

struct region_work {
    std::uint64_t work = 0;
    std::uint64_t vms = 0;
};

std::map<base::region_id, region_work> work_by_region(const view& from)
{
    std::map<base::region_id, region_work> sums;
    for (const auto& each : from.members) {
        if (takes_work(each)) {
            auto& sum = sums[each.region];
            sum.work += work_of(each);
            ++sum.vms;
        }
    }
    return sums;
}

bool is_above_mean(const member& candidate, const region_work& sum)
{
    const auto work = work_of(candidate);
    return sum.vms != 0 && work > overload_floor && work * sum.vms > overload_factor * sum.work;
}

/// Sort key of the list; smaller comes first.
struct rank {
    std::size_t region_index = 0;
    bool overloaded = false;
    bool not_preferred = false;
    std::uint64_t hash = 0;

    friend auto operator<=>(const rank&, const rank&) = default;
};

template <class T>
bool contains(const std::vector<T>& values, const T& value)
{
    return std::ranges::find(values, value) != values.end();
}

} // namespace

bool is_overloaded(const member& candidate, const view& from)
{
    const auto sums = work_by_region(from);
    const auto position = sums.find(candidate.region);
    return position != sums.end() && is_above_mean(candidate, position->second);
}

directory_answer list_vms(const view& from, const directory_request& request)
{
    const auto sums = work_by_region(from);
    const auto caller = base::hash_pair(request.team.value(), request.caller);
    std::vector<std::pair<rank, const member*>> ranked;
    for (const auto& each : from.members) {
        if (!takes_work(each) || !contains(request.allowed_regions, each.region)) {
            continue;
        }
        const auto region = std::ranges::find(request.region_order, each.region);
        const rank order{.region_index =
                             static_cast<std::size_t>(region - request.region_order.begin()),
                         .overloaded = is_above_mean(each, sums.at(each.region)),
                         .not_preferred = !contains(request.preferred_vms, each.id),
                         .hash = base::hash_pair(each.id.value(), caller)};
        ranked.emplace_back(order, &each);
    }
    const auto count = std::min(request.max_vms, ranked.size());
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), {},
                              &std::pair<rank, const member*>::first);
    ranked.resize(count);
    directory_answer answer;
    answer.vms.reserve(count);
    for (const auto& [order, candidate] : ranked) {
        answer.vms.push_back({.vm = candidate->id,
                              .name = candidate->name,
                              .caller_address = candidate->caller_address,
                              .region = candidate->region,
                              .home = !order.not_preferred});
    }
    const base::milliseconds extra{static_cast<std::int64_t>(caller % lifetime_jitter_ms)};
    answer.lifetime = min_lifetime + extra;
    return answer;
}

} // namespace chicorylink::membership
