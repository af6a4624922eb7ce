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

/// Weights are in hundredths.
constexpr double neutral_weight = 100.0;

constexpr double bytes_per_megabyte = 1e6;
constexpr double milliseconds_per_second = 1e3;
constexpr double microseconds_per_millisecond = 1e3;

/// The part of its slots that a target without a recent report is taken to use.
constexpr double unknown_use = 0.8;

/// The wait that a full batch adds to a request compared with an empty one.
constexpr double crowding_ms = 200.0;

/// A target that holds a prefix is preferred while its load stays within this multiple of the mean.
constexpr double load_bound = 1.25;
constexpr double load_bound_slack = 2.0;

/// Pools up to this size are searched whole; of larger ones a few candidates are compared.
constexpr std::size_t small_pool = 16;

/// Prompts that targets have still to compute, in milliseconds of their time.
constexpr double prefill_bound_ms = 400.0;

/// A request with no more tokens to compute goes to the target that holds its prompt in any case.
constexpr std::int64_t little_prefill = 768;

constexpr std::size_t max_holders = 4;

/// A link that is used beyond this part of its rate takes no more requests.
constexpr double link_limit = 0.8;

/// Failed attempts in this region after which another one is tried first.
constexpr std::size_t failures_before_leaving = 2;

/// The part of the slots in use from which on sessions that left before leave again, though a
/// target here is free.
constexpr double pressure = 0.8;

/// A region that takes work from here keeps taking it until the wait here falls to this part of
/// what sent the first request away.
constexpr double hysteresis = 0.5;

/// The part of a prompt that the session's own place is taken to hold when nothing is known: other
/// VMs send the session's turns there, and the news of it comes late or not at all.
constexpr double session_place_part = 0.5;

struct candidate {
    std::size_t index = 0;
    std::size_t warm_blocks = 0;
    bool session_place = false;
};

/// The candidates of one decision: each target at most once, with its longest known prefix.
class candidate_list {
public:
    void add(std::size_t index, std::size_t warm_blocks, bool session_place = false)
    {
        for (std::size_t place = 0; place < m_size; ++place) {
            if (m_entries[place].index == index) {
                auto& known = m_entries[place];
                known.warm_blocks = std::max(known.warm_blocks, warm_blocks);
                known.session_place = known.session_place || session_place;
                return;
            }
        }
        if (m_size < m_entries.size()) {
            m_entries[m_size] = {index, warm_blocks, session_place};
            ++m_size;
        }
    }

    [[nodiscard]] const candidate* begin() const { return m_entries.data(); }
    [[nodiscard]] const candidate* end() const { return m_entries.data() + m_size; }

private:
    std::array<candidate, small_pool + max_holders + 1> m_entries{};
    std::size_t m_size = 0;
};

/// The load of a target; one without a recent report is taken as well used, with one slot left.
double load_of(const region_state& state, const target_state& target, base::time_point now)
{
    const auto usable = static_cast<double>(usable_slots(target.slots, target.warm_since, now));
    const auto unknown = std::min(usable * unknown_use, usable - 1.0);
    return estimated_load(target, state.sharers, unknown, now);
}

/// Whether the prompts that wait for their first token leave room for another one. Beyond the
/// bound a request waits here, where the queue is fair, and not at the target.
bool prefill_has_room(const region_state& state, const target_state& target)
{
    const auto tokens = static_cast<double>(target.own_prefill.value()) * state.sharers;
    return tokens * state.prefill_pace / microseconds_per_millisecond <= prefill_bound_ms;
}

bool was_tried(const request& asked, base::target_id target)
{
    return std::find(asked.tried.begin(), asked.tried.end(), target) != asked.tried.end();
}

/// Whether a target of this region takes work that the request was not at.
bool has_untried(const region_state& state, const request& asked)
{
    return std::any_of(state.targets.begin(), state.targets.end(), [&](const auto& target) {
        return takes_work(target) && !was_tried(asked, target.id);
    });
}

std::optional<std::size_t> index_of(const region_state& state, base::target_id id)
{
    const auto place = std::lower_bound(
        state.targets.begin(), state.targets.end(), id,
        [](const target_state& entry, base::target_id wanted) { return entry.id < wanted; });
    if (place == state.targets.end() || place->id != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(place - state.targets.begin());
}

candidate_list gather(const region_state& state, const request& asked, base::time_point now,
                      std::uint64_t random_bits)
{
    candidate_list found;
    std::array<prefix_holder, max_holders> holders;
    const auto count = state.hints.find(asked.prefix.blocks, now, holders);
    for (std::size_t place = 0; place < count; ++place) {
        if (const auto index = index_of(state, holders[place].target)) {
            found.add(*index, holders[place].blocks);
        }
    }
    const auto size = state.targets.size();
    if (asked.prefix.session != prefix_hash{}) {
        const auto place = rendezvous_winner(state, asked.prefix.session);
        if (place < size) {
            found.add(place, 0, true);
        }
    }
    if (size <= small_pool) {
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

/// The time to the first token that depends on the choice among targets, in milliseconds.
double cost_of(const region_state& state, const request& asked, const candidate& option,
               double load, double usable)
{
    const auto warm = static_cast<std::int64_t>(option.warm_blocks) * prefix_block_tokens;
    const auto unknown =
        static_cast<double>(std::max<std::int64_t>(asked.prompt_tokens.value() - warm, 0));
    const auto cold = option.session_place ? unknown * (1.0 - session_place_part) : unknown;
    const auto& target = state.targets[option.index];
    const auto before = static_cast<double>(target.own_prefill.value());
    const auto prefill = (cold + before) * state.prefill_pace / microseconds_per_millisecond;
    return prefill + crowding_ms * load / usable;
}

/// The tokens of the prompt that the target is not known to hold.
std::int64_t cold_tokens(const request& asked, const candidate& option)
{
    const auto warm = static_cast<std::int64_t>(option.warm_blocks) * prefix_block_tokens;
    return std::max<std::int64_t>(asked.prompt_tokens.value() - warm, 0);
}

/// The load above which a target is left to other requests, whatever it holds.
double bound_of(const region_state& state, double usable)
{
    return std::min(usable, state.mean_use * usable * load_bound + load_bound_slack);
}

choice best_of(const region_state& state, const request& asked, const candidate_list& options,
               base::time_point now)
{
    auto best_cost = std::numeric_limits<double>::infinity();
    choice best{.kind = choice_kind::refuse};
    for (const auto& option : options) {
        const auto& target = state.targets[option.index];
        if (!takes_work(target) || was_tried(asked, target.id)) {
            continue;
        }
        const auto usable = usable_slots(target.slots, target.warm_since, now);
        const auto load = load_of(state, target, now);
        const auto is_warm = cold_tokens(asked, option) <= little_prefill;
        if (load + 1 > bound_of(state, usable) || !(is_warm || prefill_has_room(state, target))) {
            continue;
        }
        const auto cost = cost_of(state, asked, option, load, usable);
        if (cost < best_cost) {
            best_cost = cost;
            best = {choice_kind::target, option.index, {}, option.warm_blocks};
        }
    }
    return best;
}

/// The first target with a free slot from a random place on.
choice any_free(const region_state& state, const request& asked, base::time_point now,
                std::uint64_t random_bits)
{
    const auto size = state.targets.size();
    for (std::size_t step = 0; step < size; ++step) {
        const auto index = (random_bits + step) % size;
        const auto& target = state.targets[index];
        const auto usable = usable_slots(target.slots, target.warm_since, now);
        if (takes_work(target) && !was_tried(asked, target.id) && prefill_has_room(state, target) &&
            load_of(state, target, now) + 1 <= usable) {
            return {choice_kind::target, index, {}, 0};
        }
    }
    return {};
}

double transfer_ms(const other_region& where, const request& asked, std::uint32_t sharers,
                   base::time_point now)
{
    const auto rate = static_cast<double>(where.link_rate.value());
    const auto used = link_use(where, now) * sharers;
    const auto free = std::max(rate - used, rate * (1.0 - link_limit));
    return static_cast<double>(asked.body.value()) / free * milliseconds_per_second;
}

bool link_has_room(const other_region& where, const request& asked, std::uint32_t sharers,
                   base::time_point now)
{
    const auto rate = static_cast<double>(where.link_rate.value());
    const auto used = link_use(where, now) * sharers + static_cast<double>(asked.body.value());
    return used <= rate * link_limit;
}

double ratio(std::uint32_t above, std::uint32_t below)
{
    return static_cast<double>(above) / static_cast<double>(std::max(below, 1U));
}

/// The prefill that a number of tokens takes, in milliseconds.
double prefill_ms(const region_state& state, std::int64_t tokens)
{
    return static_cast<double>(tokens) * state.prefill_pace / microseconds_per_millisecond;
}

/// The tokens of a prompt that a target of this region is believed to hold.
std::int64_t warm_tokens_here(const region_state& state, const request& asked, base::time_point now)
{
    std::array<prefix_holder, 1> holder;
    const auto count = state.hints.find(asked.prefix.blocks, now, holder);
    return count == 0 ? 0 : static_cast<std::int64_t>(holder[0].blocks) * prefix_block_tokens;
}

/// The prefill that a request needs more elsewhere than here; below zero when its session's prefix
/// is there.
double extra_prefill(const region_state& state, const other_region& where, const request& asked,
                     base::time_point now)
{
    const auto warm = warm_tokens_here(state, asked, now);
    if (state.sessions.find(asked.prefix.session, now) == where.region) {
        return -prefill_ms(state, std::max<std::int64_t>(asked.prompt_tokens.value() - warm, 0));
    }
    return prefill_ms(state, warm);
}

double expected_wait(const region_state& state, const choice& home)
{
    return home.kind == choice_kind::target ? 0.0 : static_cast<double>(state.queue_delay.count());
}

/// What leaving costs, in milliseconds of waiting here.
double cost_of_leaving(const region_state& state, const other_region& where, const request& asked,
                       const rules::policy& weights, base::time_point now)
{
    const auto delay = static_cast<double>(where.link_delay.count()) * 2;
    const auto megabytes = static_cast<double>(asked.body.value()) / bytes_per_megabyte;
    const auto price = megabytes * static_cast<double>(where.price_per_megabyte.count());
    const auto stay = static_cast<double>(weights.stay_home.count()) *
                      ratio(weights.sent_away_weight, weights.tail_weight);
    return delay + transfer_ms(where, asked, state.sharers, now) +
           extra_prefill(state, where, asked, now) +
           price * weights.sent_away_weight / neutral_weight +
           stay * (where.spilling ? hysteresis : 1.0);
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
        const auto usable = usable_slots(target.slots, target.warm_since, now);
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

choice choose_target(const region_state& state, const request& asked, const rules::policy& weights,
                     base::time_point now, std::uint64_t random_bits)
{
    (void)weights;
    if (state.targets.empty()) {
        return {};
    }
    auto best = best_of(state, asked, gather(state, asked, now, random_bits), now);
    if (best.kind != choice_kind::target) {
        best = any_free(state, asked, now, random_bits);
    }
    if (best.kind == choice_kind::target) {
        return best;
    }
    if (has_untried(state, asked)) {
        best.kind = choice_kind::queue;
        return best;
    }
    if (asked.tried.empty()) {
        best.kind = choice_kind::refuse;
        return best;
    }
    auto again = asked;
    again.tried.clear();
    return choose_target(state, again, weights, now, random_bits);
}

bool may_forward(const region_state& state, const request& asked, const rules::team& who,
                 base::region_id where)
{
    if (asked.hop > 0 || asked.pinned || where == state.region) {
        return false;
    }
    const auto& tried = asked.tried_regions;
    const auto was_there = std::find(tried.begin(), tried.end(), where) != tried.end();
    return !was_there && rules::may_run_in(who, where);
}

std::optional<base::region_id> choose_region(const region_state& state, const request& asked,
                                             const rules::team& who, const rules::policy& weights,
                                             const choice& home, base::time_point now)
{
    const auto no_target = home.kind == choice_kind::refuse;
    auto least = no_target ? std::numeric_limits<double>::infinity() : expected_wait(state, home);
    std::optional<base::region_id> best;
    for (const auto& other : state.others) {
        if (!may_forward(state, asked, who, other.region) || !reachable(other, now) ||
            !link_has_room(other, asked, state.sharers, now)) {
            continue;
        }
        const auto has_slot = remaining_free_slots(other, state.sharers) > 0;
        if (!has_slot && !(no_target && other.slots > 0)) {
            continue;
        }
        const auto waiting = has_slot ? 0.0 : static_cast<double>(other.queue_delay.count());
        const auto cost = cost_of_leaving(state, other, asked, weights, now) + waiting;
        if (cost < least) {
            least = cost;
            best = other.region;
        }
    }
    return best;
}

choice choose(const region_state& state, const request& asked, const rules::team& who,
              const rules::policy& weights, base::time_point now, std::uint64_t random_bits)
{
    const auto exhausted = !asked.tried.empty() && !has_untried(state, asked);
    if (exhausted || asked.tried.size() >= failures_before_leaving) {
        if (const auto away = choose_region(state, asked, who, weights, choice{}, now)) {
            return {choice_kind::other_region, 0, *away, 0};
        }
    }
    auto home = choose_target(state, asked, weights, now, random_bits);
    if (home.kind == choice_kind::target && state.must_wait) {
        home.kind = choice_kind::queue;
    }
    const auto calm = state.mean_use < pressure;
    const auto is_away = state.sessions.find(asked.prefix.session, now).has_value();
    if (home.kind == choice_kind::target && (calm || !is_away)) {
        return home;
    }
    if (const auto away = choose_region(state, asked, who, weights, home, now)) {
        return {choice_kind::other_region, 0, *away, 0};
    }
    return home;
}

} // namespace chicorylink::routing
