#include "chicorylink/routing/choose.hpp"

#include "chicorylink/routing/rendezvous.hpp"
#include "chicorylink/routing/warm_up.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace chicorylink::routing {
namespace {

/// Policy weights are in hundredths; 100 is neutral.
constexpr double neutral_weight = 100.0;

constexpr double bytes_per_megabyte = 1e6;
constexpr double milliseconds_per_second = 1e3;
constexpr double microseconds_per_millisecond = 1e3;

/// Assumed share of used slots at a target without a recent report.
constexpr double assumed_use = 0.8;

/// Extra delay of a request in a full batch compared with an empty one.
constexpr double full_batch_delay_ms = 200.0;

/// A target that caches a prefix is preferred while its load is within this multiple of the mean.
constexpr double load_bound = 1.25;
constexpr double load_bound_slack = 2.0;

/// Pools up to this size are scanned in full; in larger ones a few candidates are compared.
constexpr std::size_t max_scanned_targets = 16;

/// Maximum pending prefill at a target, in milliseconds.
constexpr double max_pending_prefill_ms = 400.0;

/// A request with at most this many uncached tokens is exempt from the pending prefill limit.
constexpr std::int64_t small_prefill_tokens = 768;

constexpr std::size_t max_holders = 4;

/// A link used beyond this share of its rate is sent no more requests.
constexpr double max_link_use = 0.8;

/// Failed attempts in this region after which other regions are tried first.
constexpr std::size_t failures_before_forwarding = 2;

/// At or above this share of used slots, sessions that were forwarded before may be forwarded again
/// although a local target is free.
constexpr double high_use = 0.8;

/// Forwarding to a region continues until the local wait falls to this share of the wait that
/// started it.
constexpr double hysteresis = 0.5;

/// Assumed share of the unknown part of a prompt that the session's home target caches: other VMs
/// send the session's turns there, and their cache events arrive late or not at all.
constexpr double home_target_cached_share = 0.5;

struct candidate {
    std::size_t index = 0;
    std::size_t cached_blocks = 0;
    bool is_home_target = false;
};

/// The candidates of one decision: each target at most once, with its longest known prefix.
class candidate_list {
public:
    void add(std::size_t index, std::size_t cached_blocks, bool is_home_target = false)
    {
        for (std::size_t position = 0; position < m_size; ++position) {
            if (m_entries[position].index == index) {
                auto& known = m_entries[position];
                known.cached_blocks = std::max(known.cached_blocks, cached_blocks);
                known.is_home_target = known.is_home_target || is_home_target;
                return;
            }
        }
        if (m_size < m_entries.size()) {
            m_entries[m_size] = {index, cached_blocks, is_home_target};
            ++m_size;
        }
    }

    [[nodiscard]] const candidate* begin() const { return m_entries.data(); }
    [[nodiscard]] const candidate* end() const { return m_entries.data() + m_size; }

private:
    std::array<candidate, max_scanned_targets + max_holders + 1> m_entries{};
    std::size_t m_size = 0;
};

/// The estimated load of a target; one without a recent report is assumed to be well used, with at
/// least one slot left.
double load_of(const region_state& state, const target_state& target, base::time_point now)
{
    const auto usable = static_cast<double>(usable_slots(target.slots, target.warming_since, now));
    const auto unknown = std::min(usable * assumed_use, usable - 1.0);
    return estimated_load(target, state.vm_count, unknown, now);
}

/// Whether the pending prefill of a target allows another request. Above the limit, a request waits
/// in this VM's fair queue and not at the target.
bool prefill_has_room(const region_state& state, const target_state& target)
{
    const auto tokens = static_cast<double>(target.own_prefill.value()) * state.vm_count;
    return tokens * state.prefill_pace / microseconds_per_millisecond <= max_pending_prefill_ms;
}

bool was_tried(const request& req, base::target_id target)
{
    return std::find(req.tried.begin(), req.tried.end(), target) != req.tried.end();
}

/// Whether a target of this region accepts work and was not tried by the request.
bool has_untried(const region_state& state, const request& req)
{
    return std::any_of(state.targets.begin(), state.targets.end(), [&](const auto& target) {
        return takes_work(target) && !was_tried(req, target.id);
    });
}

std::optional<std::size_t> index_of(const region_state& state, base::target_id id)
{
    const auto position = std::lower_bound(
        state.targets.begin(), state.targets.end(), id,
        [](const target_state& entry, base::target_id wanted) { return entry.id < wanted; });
    if (position == state.targets.end() || position->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(position - state.targets.begin());
}

candidate_list collect_candidates(const region_state& state, const request& req,
                                  base::time_point now, std::uint64_t random_bits)
{
    candidate_list found;
    std::array<prefix_holder, max_holders> holders;
    const auto count = state.hints.find(req.prefix.blocks, now, holders);
    for (std::size_t position = 0; position < count; ++position) {
        if (const auto index = index_of(state, holders[position].target)) {
            found.add(*index, holders[position].blocks);
        }
    }
    const auto size = state.targets.size();
    if (req.prefix.session != prefix_hash{}) {
        const auto position = rendezvous_winner(state, req.prefix.session);
        if (position < size) {
            found.add(position, 0, true);
        }
    }
    if (size <= max_scanned_targets) {
        const auto first = random_bits % size;
        for (std::size_t step = 0; step < size; ++step) {
            found.add((first + step) % size, 0);
        }
        return found;
    }
    constexpr std::uint64_t half_bits = 32;
    found.add((random_bits & 0xffffffffU) % size, 0);
    found.add((random_bits >> half_bits) % size, 0);
    return found;
}

/// The part of the time to first token that depends on the target, in milliseconds.
double target_cost_ms(const region_state& state, const request& req, const candidate& option,
                      double load, double usable)
{
    const auto cached = static_cast<std::int64_t>(option.cached_blocks) * prefix_block_tokens;
    const auto unknown =
        static_cast<double>(std::max<std::int64_t>(req.prompt_tokens.value() - cached, 0));
    const auto uncached =
        option.is_home_target ? unknown * (1.0 - home_target_cached_share) : unknown;
    const auto& target = state.targets[option.index];
    const auto before = static_cast<double>(target.own_prefill.value());
    const auto prefill = (uncached + before) * state.prefill_pace / microseconds_per_millisecond;
    return prefill + full_batch_delay_ms * load / usable;
}

/// The prompt tokens that are not known to be cached at the target.
std::int64_t uncached_tokens(const request& req, const candidate& option)
{
    const auto cached = static_cast<std::int64_t>(option.cached_blocks) * prefix_block_tokens;
    return std::max<std::int64_t>(req.prompt_tokens.value() - cached, 0);
}

/// The load above which a target is left to other requests, regardless of what it caches.
double max_load_of(const region_state& state, double usable)
{
    return std::min(usable, state.mean_use * usable * load_bound + load_bound_slack);
}

choice best_of(const region_state& state, const request& req, const candidate_list& options,
               base::time_point now)
{
    auto best_cost = std::numeric_limits<double>::infinity();
    choice best{.kind = choice_kind::refuse};
    for (const auto& option : options) {
        const auto& target = state.targets[option.index];
        if (!takes_work(target) || was_tried(req, target.id)) {
            continue;
        }
        const auto usable = usable_slots(target.slots, target.warming_since, now);
        const auto load = load_of(state, target, now);
        const auto is_small_prefill = uncached_tokens(req, option) <= small_prefill_tokens;
        if (load + 1 > max_load_of(state, usable) ||
            !(is_small_prefill || prefill_has_room(state, target))) {
            continue;
        }
        const auto cost = target_cost_ms(state, req, option, load, usable);
        if (cost < best_cost) {
            best_cost = cost;
            best = {choice_kind::target, option.index, {}, option.cached_blocks};
        }
    }
    return best;
}

/// The first target with a free slot, starting from a random index.
choice first_free_target(const region_state& state, const request& req, base::time_point now,
                         std::uint64_t random_bits)
{
    const auto size = state.targets.size();
    for (std::size_t step = 0; step < size; ++step) {
        const auto index = (random_bits + step) % size;
        const auto& target = state.targets[index];
        const auto usable = usable_slots(target.slots, target.warming_since, now);
        if (takes_work(target) && !was_tried(req, target.id) && prefill_has_room(state, target) &&
            load_of(state, target, now) + 1 <= usable) {
            return {choice_kind::target, index, {}, 0};
        }
    }
    return {};
}

double transfer_ms(const other_region& destination, const request& req, std::uint32_t vm_count,
                   base::time_point now)
{
    const auto rate = static_cast<double>(destination.link_rate.value());
    const auto used = link_use(destination, now) * vm_count;
    const auto free = std::max(rate - used, rate * (1.0 - max_link_use));
    return static_cast<double>(req.body.value()) / free * milliseconds_per_second;
}

bool link_has_room(const other_region& destination, const request& req, std::uint32_t vm_count,
                   base::time_point now)
{
    const auto rate = static_cast<double>(destination.link_rate.value());
    const auto used = link_use(destination, now) * vm_count + static_cast<double>(req.body.value());
    return used <= rate * max_link_use;
}

double ratio(std::uint32_t above, std::uint32_t below)
{
    return static_cast<double>(above) / static_cast<double>(std::max(below, 1U));
}

/// The prefill time of a number of tokens, in milliseconds.
double prefill_ms(const region_state& state, std::int64_t tokens)
{
    return static_cast<double>(tokens) * state.prefill_pace / microseconds_per_millisecond;
}

/// The prompt tokens that a target of this region probably caches.
std::int64_t locally_cached_tokens(const region_state& state, const request& req,
                                   base::time_point now)
{
    std::array<prefix_holder, 1> holder;
    const auto count = state.hints.find(req.prefix.blocks, now, holder);
    return count == 0 ? 0 : static_cast<std::int64_t>(holder[0].blocks) * prefix_block_tokens;
}

/// The additional prefill time in another region, in milliseconds; negative if the session's prefix
/// is cached there.
double extra_prefill_ms(const region_state& state, const other_region& destination,
                        const request& req, base::time_point now)
{
    const auto cached = locally_cached_tokens(state, req, now);
    if (state.sessions.find(req.prefix.session, now) == destination.region) {
        return -prefill_ms(state, std::max<std::int64_t>(req.prompt_tokens.value() - cached, 0));
    }
    return prefill_ms(state, cached);
}

double expected_wait(const region_state& state, const choice& local)
{
    return local.kind == choice_kind::target ? 0.0 : static_cast<double>(state.queue_delay.count());
}

/// The cost of forwarding to a region, in milliseconds of local waiting.
double forward_cost_ms(const region_state& state, const other_region& destination,
                       const request& req, const rules::policy& weights, base::time_point now)
{
    const auto delay = static_cast<double>(destination.link_delay.count()) * 2;
    const auto megabytes = static_cast<double>(req.body.value()) / bytes_per_megabyte;
    const auto price = megabytes * static_cast<double>(destination.price_per_megabyte.count());
    const auto stay_cost = static_cast<double>(weights.stay_home.count()) *
                           ratio(weights.sent_away_weight, weights.tail_weight);
    return delay + transfer_ms(destination, req, state.vm_count, now) +
           extra_prefill_ms(state, destination, req, now) +
           price * weights.sent_away_weight / neutral_weight +
           stay_cost * (destination.forwarding ? hysteresis : 1.0);
}

} // namespace

pool_capacity capacity_of(const region_state& state, base::time_point now)
{
    pool_capacity capacity;
    double load_sum = 0;
    for (const auto& target : state.targets) {
        if (!takes_work(target)) {
            continue;
        }
        const auto usable = usable_slots(target.slots, target.warming_since, now);
        const auto load = load_of(state, target, now);
        capacity.usable += usable;
        load_sum += load;
        if (prefill_has_room(state, target)) {
            capacity.free += static_cast<std::uint32_t>(std::max(usable - load, 0.0));
        }
    }
    capacity.mean_use = capacity.usable == 0 ? 1.0 : load_sum / capacity.usable;
    return capacity;
}

choice choose_target(const region_state& state, const request& req, const rules::policy& weights,
                     base::time_point now, std::uint64_t random_bits)
{
    (void)weights;
    if (state.targets.empty()) {
        return {};
    }
    auto best = best_of(state, req, collect_candidates(state, req, now, random_bits), now);
    if (best.kind != choice_kind::target) {
        best = first_free_target(state, req, now, random_bits);
    }
    if (best.kind == choice_kind::target) {
        return best;
    }
    if (has_untried(state, req)) {
        best.kind = choice_kind::queue;
        return best;
    }
    if (req.tried.empty()) {
        best.kind = choice_kind::refuse;
        return best;
    }
    auto again = req;
    again.tried.clear();
    return choose_target(state, again, weights, now, random_bits);
}

bool may_forward(const region_state& state, const request& req, const rules::team& team,
                 base::region_id destination)
{
    if (req.hop > 0 || req.pinned || destination == state.region) {
        return false;
    }
    const auto& tried = req.tried_regions;
    const auto was_there = std::find(tried.begin(), tried.end(), destination) != tried.end();
    return !was_there && rules::may_run_in(team, destination);
}

std::optional<base::region_id> choose_region(const region_state& state, const request& req,
                                             const rules::team& team, const rules::policy& weights,
                                             const choice& local, base::time_point now)
{
    const auto no_target = local.kind == choice_kind::refuse;
    auto lowest_cost =
        no_target ? std::numeric_limits<double>::infinity() : expected_wait(state, local);
    std::optional<base::region_id> best;
    for (const auto& other : state.others) {
        if (!may_forward(state, req, team, other.region) || !reachable(other, now) ||
            !link_has_room(other, req, state.vm_count, now)) {
            continue;
        }
        const auto has_slot = remaining_free_slots(other, state.vm_count) > 0;
        if (!has_slot && !(no_target && other.slots > 0)) {
            continue;
        }
        const auto waiting = has_slot ? 0.0 : static_cast<double>(other.queue_delay.count());
        const auto cost = forward_cost_ms(state, other, req, weights, now) + waiting;
        if (cost < lowest_cost) {
            lowest_cost = cost;
            best = other.region;
        }
    }
    return best;
}

choice choose(const region_state& state, const request& req, const rules::team& team,
              const rules::policy& weights, base::time_point now, std::uint64_t random_bits)
{
    const auto exhausted = !req.tried.empty() && !has_untried(state, req);
    if (exhausted || req.tried.size() >= failures_before_forwarding) {
        if (const auto away = choose_region(state, req, team, weights, choice{}, now)) {
            return {choice_kind::other_region, 0, *away, 0};
        }
    }
    auto local = choose_target(state, req, weights, now, random_bits);
    if (local.kind == choice_kind::target && state.must_wait) {
        local.kind = choice_kind::queue;
    }
    const auto low_use = state.mean_use < high_use;
    const auto was_forwarded = state.sessions.find(req.prefix.session, now).has_value();
    if (local.kind == choice_kind::target && (low_use || !was_forwarded)) {
        return local;
    }
    if (const auto away = choose_region(state, req, team, weights, local, now)) {
        return {choice_kind::other_region, 0, *away, 0};
    }
    return local;
}

} // namespace chicorylink::routing
