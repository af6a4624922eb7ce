#include "chicorylink/fleet/placement.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/expected_wait.hpp"
#include "chicorylink/scheduling/prefix_transfer.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace chicorylink::fleet {
namespace {

/// Cost of an expected failure: the failed attempt and its retry.
constexpr double failure_cost_ms = 300.0;

/// Cost of a stream that is expected to end after its deadline: it gives its caller nothing.
constexpr double late_end_cost_ms = 10'000.0;

/// Fraction of a prompt's shared tokens that its home target is assumed to have cached even if this
/// VM did not send them there: the other VMs of the region choose the same home target.
constexpr double home_cached_fraction = 0.7;

/// Urgency for which the wait is reported to other regions: that of a team of middle rank.
constexpr std::uint8_t typical_urgency = 4;

std::uint32_t cached_tokens(const tracked_target& target, const prompt& request_prompt,
                            bool may_be_cached, base::time_point now)
{
    const auto cached = target.cache.cached_tokens(request_prompt, now);
    if (!may_be_cached) {
        return cached;
    }
    const double home_cached =
        home_cached_fraction * static_cast<double>(shared_tokens(request_prompt));
    return std::max(cached, static_cast<std::uint32_t>(home_cached));
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
        const auto session =
            request.engine_prompt == nullptr ? request.spread : request.engine_prompt->session;
        found.push_back({&target, base::hash_pair(session, target.id.value())});
    }
    return found;
}

/// A target that has the most of a prompt cached, and how much that is.
struct prefix_holder {
    const tracked_target* target = nullptr;
    std::uint32_t tokens = 0;
};

/// Finds the target to fetch a prompt's shared parts from. Among equal ones, the one whose link is
/// free first.
prefix_holder find_holder(const std::vector<candidate>& candidates, const prompt& request_prompt,
                          base::time_point now)
{
    prefix_holder best;
    for (const auto& option : candidates) {
        const auto& target = *option.target;
        if (target.fetch_tokens_per_ms <= 0 || is_ejected(target.health, now) ||
            is_on_probation(target.health) || may_be_cold(target, now)) {
            continue;
        }
        const auto tokens = target.cache.ready_tokens(request_prompt, now);
        if (tokens > best.tokens || (best.target != nullptr && tokens == best.tokens &&
                                     target.link_free_at < best.target->link_free_at)) {
            best = {&target, tokens};
        }
    }
    return best;
}

/// The preferred target of a session, by rendezvous hash.
const tracked_target* home_target(const std::vector<candidate>& candidates, base::time_point now)
{
    const tracked_target* home = nullptr;
    std::uint64_t home_weight = 0;
    for (const auto& option : candidates) {
        if (!is_ejected(option.target->health, now) && option.weight >= home_weight) {
            home = option.target;
            home_weight = option.weight;
        }
    }
    return home;
}

/// Number of VMs that consider one target at the same time when it looks idle; three VMs that
/// consider all targets keep the queues even.
constexpr std::size_t vms_per_target = 3;
constexpr std::size_t min_candidates = 2;

/// Keeps the first candidates by rendezvous hash, fewer the more VMs share the targets.
void limit_candidates(std::vector<candidate>& candidates, std::size_t vm_count)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.weight > b.weight; });
    const auto share =
        (candidates.size() * vms_per_target + vm_count - 1) / std::max<std::size_t>(vm_count, 1);
    const auto count = std::max(share, min_candidates);
    if (candidates.size() > count) {
        candidates.resize(count);
    }
}

bool is_idle(const tracked_target& target)
{
    return target.in_flight + target.reserved.in_flight == 0;
}

/// Whether pushback allows a request to the target. A coordinator places requests for other VMs,
/// which name the targets that asked them to wait; for it, each wait only indicates overload.
bool may_receive(const tracked_target& target, bool by_coordinator, base::time_point now)
{
    if (!by_coordinator && must_back_off(target.pushback, now)) {
        return false;
    }
    const bool one_at_a_time =
        pushes_back(target.pushback, now) || needs_probe(target.pushback, now);
    return !one_at_a_time || is_idle(target);
}

bool was_tried(const placement_request& request, const target_name& name)
{
    return std::find(request.tried.begin(), request.tried.end(), name) != request.tried.end();
}

/// Whether a target is known to have cached all shared parts of a prompt. Otherwise they may date
/// from before this VM became the coordinator.
bool is_cached(const std::vector<candidate>& candidates, const prompt& request_prompt,
               base::time_point now)
{
    const auto shared = shared_tokens(request_prompt);
    return shared > 0 && std::any_of(candidates.begin(), candidates.end(), [&](const auto& option) {
               return option.target->cache.cached_tokens(request_prompt, now) >= shared;
           });
}

/// What a choice of target needs to know about the targets together.
struct selection_context {
    const tracked_target* home = nullptr;
    prefix_holder holder;
    /// Response time of targets of a plain service that have not been measured.
    double usual_response_ms = default_response_ms;
};

/// Plans how a target gets a prompt: by reading, or partly by a transfer.
scheduling::prefix_plan plan_prompt(const tracked_target& target, const prompt& request_prompt,
                                    const selection_context& context, double wait, double factor,
                                    base::time_point now)
{
    scheduling::prefix_request request;
    request.prompt_tokens = request_prompt.prompt_tokens;
    request.own_tokens = cached_tokens(target, request_prompt, &target == context.home, now);
    request.queue_wait_ms = wait;
    const auto* holder = context.holder.target;
    if (holder != nullptr && holder != &target) {
        request.holder_tokens = context.holder.tokens;
        const auto free_at = std::max({holder->link_free_at, target.link_free_at, now});
        request.link_wait_ms = std::chrono::duration<double, std::milli>(free_at - now).count();
    }
    return scheduling::plan_prefix(
        request, {default_prompt_tokens_per_ms / factor, target.fetch_tokens_per_ms});
}

placement_choice score(const candidate& option, const placement_request& request,
                       const selection_context& context, base::time_point now)
{
    const auto& target = *option.target;
    placement_choice choice;
    choice.target = target.entry.name;
    choice.address = target.entry.address;
    const double factor = scheduling::time_factor(target.speed, now);
    choice.time_factor = factor;
    const double wait =
        request.by_coordinator
            ? coordinated_wait_ms(target, request.urgency, context.usual_response_ms, now)
            : wait_ms(target, reported_work(target, now), context.usual_response_ms, factor);
    double start = wait;
    if (request.engine_prompt != nullptr && target.is_engine) {
        const auto plan = plan_prompt(target, *request.engine_prompt, context, wait, factor, now);
        choice.unread_tokens = plan.unread_tokens;
        start = factor * first_token_ms + plan.ready_ms;
        if (plan.is_fetched) {
            choice.prefix_holder = context.holder.target->entry.name;
            choice.prefix_holder_address = context.holder.target->entry.address;
            choice.transfer = base::milliseconds{static_cast<std::int64_t>(plan.transfer_ms)};
            choice.cost += plan.link_ms;
        }
        if (const auto decode =
                scheduling::decode_time_ms(target.pace, request.engine_prompt->output_tokens, now);
            decode && request.engine_prompt->output_tokens > 0) {
            choice.end = base::milliseconds{static_cast<std::int64_t>(start + *decode)};
            choice.cost += ends_late(choice, request.time_left) ? late_end_cost_ms : 0;
        }
        const auto reread =
            reread_tokens(request.engine_prompt->prompt_tokens,
                          shared_tokens(*request.engine_prompt), choice.unread_tokens);
        choice.cost +=
            reread_factor * factor * static_cast<double>(reread) / default_prompt_tokens_per_ms;
    }
    else {
        start += factor * undisturbed_response_ms(target, context.usual_response_ms);
    }
    choice.cost += start + target.health.failure_rate * failure_cost_ms;
    if (request.data_center.value() != 0 && request.data_center != target.data_center) {
        choice.cost += cross_data_center_cost_ms;
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
                 [&](const candidate& option) { return check(*option.target); });
    return passed;
}

std::optional<placement_choice> best_of(const std::vector<candidate>& candidates,
                                        const placement_request& request,
                                        const selection_context& context, base::time_point now)
{
    std::optional<placement_choice> best;
    std::uint64_t best_weight = 0;
    for (const auto& option : candidates) {
        auto choice = score(option, request, context, now);
        const bool better = !best || choice.cost < best->cost ||
                            (choice.cost == best->cost && option.weight > best_weight);
        if (better) {
            best = std::move(choice);
            best_weight = option.weight;
        }
    }
    return best;
}

} // namespace

std::optional<placement_choice>
choose_target(const target_pool& pool, const placement_request& request, base::time_point now)
{
    const auto candidates = candidates_for(pool, request);
    selection_context context;
    if (!request.by_coordinator || request.engine_prompt == nullptr ||
        !is_cached(candidates, *request.engine_prompt, now)) {
        context.home = home_target(candidates, now);
    }
    if (request.engine_prompt != nullptr) {
        context.holder = find_holder(candidates, *request.engine_prompt, now);
    }
    else {
        context.usual_response_ms = usual_response_ms(pool, request.service);
    }
    const auto usable = filter(candidates, [&](const tracked_target& target) {
        return may_receive(target, request.by_coordinator, now) &&
               (!request.may_use || request.may_use(target));
    });
    const auto untried = filter(usable, [&](const tracked_target& target) {
        return !was_tried(request, target.entry.name);
    });
    auto healthy = filter(untried, [&](const tracked_target& target) {
        return !is_ejected(target.health, now) && !pushes_back(target.pushback, now) &&
               (!is_on_probation(target.health) || is_idle(target));
    });
    limit_candidates(healthy, request.vm_count);
    if (auto choice = best_of(healthy, request, context, now)) {
        return choice;
    }
    if (auto choice = best_of(untried, request, context, now)) {
        return choice;
    }
    auto choice = best_of(usable, request, context, now);
    if (choice) {
        choice->is_repeat = true;
    }
    return choice;
}

namespace {

/// Whether a target has capacity for requests of other regions. One that limits its rate is in need
/// and has none to spare.
bool is_usable(const tracked_target& target, const service_name& service, base::time_point now)
{
    return target.entry.service == service && takes_work(target) &&
           !is_ejected(target.health, now) && !pushes_back(target.pushback, now) &&
           !limit_at(target.pushback.limit, now) && now >= target.cold_until;
}

} // namespace

std::uint32_t usable_targets(const target_pool& pool, const service_name& service,
                             base::time_point now)
{
    return static_cast<std::uint32_t>(
        std::count_if(pool.targets().begin(), pool.targets().end(),
                      [&](const auto& entry) { return is_usable(entry.second, service, now); }));
}

service_outlook outlook_of(const target_pool& pool, const service_name& service,
                           bool by_coordinator, base::time_point now)
{
    service_outlook outlook;
    outlook.service = base::hash_name(service.text());
    std::vector<double> waits;
    const double response_ms = usual_response_ms(pool, service);
    for (const auto& [name, target] : pool.targets()) {
        if (is_usable(target, service, now)) {
            waits.push_back(by_coordinator
                                ? coordinated_wait_ms(target, typical_urgency, response_ms, now)
                                : wait_ms(target, reported_work(target, now), response_ms,
                                          scheduling::time_factor(target.speed, now)));
        }
    }
    outlook.usable_targets = static_cast<std::uint32_t>(waits.size());
    if (!waits.empty()) {
        // A coordinator places the next requests at the less loaded half.
        std::sort(waits.begin(), waits.end());
        waits.resize(by_coordinator ? (waits.size() + 1) / 2 : waits.size());
        const double mean =
            std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
        outlook.wait = base::milliseconds{static_cast<std::int64_t>(mean)};
    }
    return outlook;
}

} // namespace chicorylink::fleet
