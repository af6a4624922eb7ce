#include "chicorylink/fleet/placement.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace chicorylink::fleet {
namespace {

/// What one step of a batch adds for each request that runs in it.
constexpr double step_ms_per_request = 0.25;

/// What a request waits for each request before it that holds no slot of an engine yet.
constexpr double engine_slot_wait_ms = 60.0;

/// The answer time of a plain service that has not answered yet.
constexpr double default_answer_ms = 30.0;

/// What an expected failure costs, as time: a failed attempt and its repeat.
constexpr double failure_cost_ms = 300.0;

/// The part of a session's tokens that its place by rendezvous hash is taken to hold though this
/// VM did not send them there: the region's other VMs place it alike.
constexpr double held_by_others = 0.7;

/// What other regions are told is for requests of about this urgency; those of a team of middle
/// rank.
constexpr std::uint8_t usual_urgency = 4;

/// What stands before a new request at a target.
struct work_before {
    std::uint64_t in_flight = 0;
    std::uint64_t unread_tokens = 0;
    /// How long the first request that waits there should have begun.
    base::milliseconds overdue{0};
};

work_before told_work(const tracked_target& target, base::time_point now)
{
    return {total_in_flight(target, now), total_unread_tokens(target, now)};
}

work_before reserved_work(const tracked_target& target, std::uint8_t urgency, base::time_point now)
{
    work_before work{target.reserved.in_flight, reserved_tokens_before(target, urgency)};
    if (target.reserved.first_due) {
        // A request that others overtake may be late at a target that works well.
        const auto due = std::max(*target.reserved.first_due, target.reserved.begun_at);
        work.overdue = std::max(base::milliseconds{0},
                                std::chrono::duration_cast<base::milliseconds>(now - due));
    }
    return work;
}

double wait_ms(const tracked_target& target, const work_before& work)
{
    const auto running = static_cast<double>(work.in_flight);
    const auto slots = static_cast<double>(std::max(target.entry.slots, 1U));
    const double over = std::max(0.0, running + 1 - slots);
    if (target.is_engine) {
        // A target that is late is slower than expected, or gone: it may stay so for as long again.
        return static_cast<double>(work.overdue.count()) +
               static_cast<double>(work.unread_tokens) / default_prompt_speed +
               running * step_ms_per_request + over * engine_slot_wait_ms;
    }
    const double each = target.answer_ms > 0 ? target.answer_ms : default_answer_ms;
    return over / slots * each;
}

std::uint32_t unread_tokens(const tracked_target& target, const prompt& asked, bool may_hold,
                            base::time_point now)
{
    auto cached = target.cache.cached_tokens(asked, now);
    if (may_hold) {
        const double by_others = held_by_others * static_cast<double>(shared_tokens(asked));
        cached = std::max(cached, static_cast<std::uint32_t>(by_others));
    }
    return asked.prompt_tokens > cached ? asked.prompt_tokens - cached : 0;
}

struct candidate {
    const tracked_target* target = nullptr;
    std::uint64_t weight = 0;
};

std::vector<candidate> candidates_for(const target_pool& pool, const placement_request& request)
{
    std::vector<candidate> found;
    for (const auto& [name, target] : pool.targets()) {
        if (target.entry.service != request.service || !takes_work(target)) {
            continue;
        }
        const auto session = request.asked == nullptr ? request.spread : request.asked->session;
        found.push_back({&target, base::hash_pair(session, target.id.value())});
    }
    return found;
}

/// The target that a session's requests go to first, by rendezvous hash.
const tracked_target* home_of(const std::vector<candidate>& candidates, base::time_point now)
{
    const tracked_target* home = nullptr;
    std::uint64_t home_weight = 0;
    for (const auto& which : candidates) {
        if (!is_ejected(which.target->health, now) && which.weight >= home_weight) {
            home = which.target;
            home_weight = which.weight;
        }
    }
    return home;
}

/// Requests of all sharers that consider one target at a time when it looks idle; three VMs that
/// consider all targets keep queues even.
constexpr std::size_t considerations_per_target = 3;
constexpr std::size_t fewest_considered = 2;

/// Keeps the first candidates by rendezvous hash.
void keep_first(std::vector<candidate>& candidates, std::size_t sharers)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.weight > b.weight; });
    const auto share = (candidates.size() * considerations_per_target + sharers - 1) /
                       std::max<std::size_t>(sharers, 1);
    const auto count = std::max(share, fewest_considered);
    if (candidates.size() > count) {
        candidates.resize(count);
    }
}

bool is_idle(const tracked_target& target)
{
    return target.in_flight + target.reserved.in_flight == 0;
}

/// Whether a target that asked VMs to wait may be sent a request at all. A desk places for others,
/// who name the targets that want nothing from them; to it, each wait is a sign of overload.
bool bears_request(const tracked_target& target, bool by_desk, base::time_point now)
{
    if (!by_desk && wants_nothing(target.restraint, now)) {
        return false;
    }
    const bool is_restrained =
        pushes_back(target.restraint, now) || is_returning(target.restraint, now);
    return !is_restrained || is_idle(target);
}

bool was_tried(const placement_request& request, const target_name& name)
{
    return std::find(request.tried.begin(), request.tried.end(), name) != request.tried.end();
}

/// Whether a desk knows a target that holds all shared parts of a prompt; otherwise they may be
/// from before it became the desk.
bool is_held(const std::vector<candidate>& candidates, const prompt& asked, base::time_point now)
{
    const auto shared = shared_tokens(asked);
    return shared > 0 && std::any_of(candidates.begin(), candidates.end(), [&](const auto& which) {
               return which.target->cache.cached_tokens(asked, now) >= shared;
           });
}

placement_choice rate(const candidate& which, const placement_request& request, bool may_hold,
                      base::time_point now)
{
    const auto& target = *which.target;
    placement_choice choice{target.entry.name, target.entry.address, {}, {}, 0, 0, false};
    const double wait =
        wait_ms(target, request.by_desk ? reserved_work(target, request.urgency, now)
                                        : told_work(target, now));
    double start = wait;
    if (request.asked != nullptr && target.is_engine) {
        choice.unread_tokens = unread_tokens(target, *request.asked, may_hold, now);
        start += first_token_ms + static_cast<double>(choice.unread_tokens) / default_prompt_speed;
        const auto reread = reread_tokens(request.asked->prompt_tokens,
                                          shared_tokens(*request.asked), choice.unread_tokens);
        choice.cost += reread_factor * static_cast<double>(reread) / default_prompt_speed;
    }
    else {
        start += target.answer_ms > 0 ? target.answer_ms : default_answer_ms;
    }
    choice.cost += start + target.health.failure_rate * failure_cost_ms;
    if (request.data_center.value() != 0 && request.data_center != target.data_center) {
        choice.cost += crossing_cost_ms;
    }
    choice.wait = base::milliseconds{static_cast<std::int64_t>(wait)};
    choice.start = base::milliseconds{static_cast<std::int64_t>(start)};
    return choice;
}

/// The candidates whose targets pass a check.
template <class Check>
std::vector<candidate> filter(const std::vector<candidate>& candidates, const Check& check)
{
    std::vector<candidate> passed;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(passed),
                 [&](const candidate& which) { return check(*which.target); });
    return passed;
}

std::optional<placement_choice> best_of(const std::vector<candidate>& candidates,
                                        const placement_request& request,
                                        const tracked_target* home, base::time_point now)
{
    std::optional<placement_choice> best;
    std::uint64_t best_weight = 0;
    for (const auto& which : candidates) {
        auto choice = rate(which, request, which.target == home, now);
        const bool better = !best || choice.cost < best->cost ||
                            (choice.cost == best->cost && which.weight > best_weight);
        if (better) {
            best = std::move(choice);
            best_weight = which.weight;
        }
    }
    return best;
}

} // namespace

std::optional<placement_choice>
choose_target(const target_pool& pool, const placement_request& request, base::time_point now)
{
    const auto candidates = candidates_for(pool, request);
    const tracked_target* home = nullptr;
    if (!request.by_desk || request.asked == nullptr || !is_held(candidates, *request.asked, now)) {
        home = home_of(candidates, now);
    }
    const auto usable = filter(candidates, [&](const tracked_target& target) {
        return bears_request(target, request.by_desk, now) &&
               (!request.may_use || request.may_use(target));
    });
    const auto untried = filter(usable, [&](const tracked_target& target) {
        return !was_tried(request, target.entry.name);
    });
    auto sound = filter(untried, [&](const tracked_target& target) {
        return !is_ejected(target.health, now) && !pushes_back(target.restraint, now) &&
               (!is_on_probation(target.health) || is_idle(target));
    });
    keep_first(sound, request.sharers);
    if (auto choice = best_of(sound, request, home, now)) {
        return choice;
    }
    if (auto choice = best_of(untried, request, home, now)) {
        return choice;
    }
    auto choice = best_of(usable, request, home, now);
    if (choice) {
        choice->is_repeat = true;
    }
    return choice;
}

namespace {

bool is_usable(const tracked_target& target, const service_name& service, base::time_point now)
{
    return target.entry.service == service && takes_work(target) &&
           !is_ejected(target.health, now) && !pushes_back(target.restraint, now) &&
           now >= target.cold_until;
}

} // namespace

std::uint32_t usable_targets(const target_pool& pool, const service_name& service,
                             base::time_point now)
{
    return static_cast<std::uint32_t>(
        std::count_if(pool.targets().begin(), pool.targets().end(),
                      [&](const auto& entry) { return is_usable(entry.second, service, now); }));
}

service_outlook outlook_of(const target_pool& pool, const service_name& service, bool by_desk,
                           base::time_point now)
{
    service_outlook outlook;
    outlook.service = base::hash_name(service.text());
    std::vector<double> waits;
    for (const auto& [name, target] : pool.targets()) {
        if (is_usable(target, service, now)) {
            waits.push_back(wait_ms(target, by_desk ? reserved_work(target, usual_urgency, now)
                                                    : told_work(target, now)));
        }
    }
    outlook.usable_targets = static_cast<std::uint32_t>(waits.size());
    if (!waits.empty()) {
        // A desk gives the next requests to the less loaded half.
        std::sort(waits.begin(), waits.end());
        waits.resize(by_desk ? (waits.size() + 1) / 2 : waits.size());
        const double mean =
            std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
        outlook.wait = base::milliseconds{static_cast<std::int64_t>(mean)};
    }
    return outlook;
}

} // namespace chicorylink::fleet
