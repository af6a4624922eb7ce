#include "chicorylink/fleet/region_choice.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Fraction of the latency objective in which a request must be expected to begin; the rest covers
/// the error of the estimate. A caller's retry gets the whole objective.
constexpr double start_fraction = 0.85;
constexpr double retry_start_fraction = 1.0;

/// Fraction of the objective that any request may wait, however long its own prompt takes.
constexpr double min_wait_fraction = 0.25;

/// Fraction of the objective within which a request stays in its region, whatever other regions
/// offer: a request that leaves its region loses the prompts cached there.
constexpr double local_start_fraction = 0.5;

/// How much faster another region has to be, because its digest is old and links have a cost.
constexpr base::milliseconds remote_margin{60};

/// Assumed round trip to a region before the first measurement.
constexpr base::milliseconds default_round_trip{120};

/// Interval and transfer time of digests from other regions; tokens sent within it are added to the
/// reported load.
constexpr base::milliseconds digest_interval{700};

base::milliseconds fraction_of(base::milliseconds duration, double fraction)
{
    return base::milliseconds{
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * fraction)};
}

/// Fraction of a session's shared tokens that may be read here although the home region has them:
/// covers parts that all sessions begin with and parts that an engine has evicted.
constexpr double reread_fraction = 0.2;

double rank_of(const region_name& region, std::uint32_t targets, std::uint64_t session)
{
    return base::rendezvous_rank(base::hash_pair(session, base::hash_name(region.text())),
                                 std::max(targets, 1U));
}

/// The other region that requests of a session go to when they leave this one, so that only one
/// other region reads the session's parts.
const remote_region* remote_home(const std::vector<remote_region>& others, std::uint64_t session)
{
    const auto rank = [&](const remote_region& destination) {
        return rank_of(destination.region, destination.usable_targets, session);
    };
    const auto best =
        std::max_element(others.begin(), others.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return best == others.end() ? nullptr : &*best;
}

double read_time_ms(double tokens)
{
    return tokens / default_prompt_tokens_per_ms;
}

/// Prompt tokens that count toward the start time in another region; shared tokens that are read a
/// second time there have more weight.
double weighted_tokens(bool may_be_cached, const region_request& request)
{
    if (!request.is_engine) {
        return 0;
    }
    const double shared = request.shared_tokens;
    return std::max(0.0,
                    request.prompt_tokens + (may_be_cached ? -shared : reread_factor * shared));
}

base::milliseconds start_at(const remote_region& destination, bool may_be_cached,
                            const region_request& request)
{
    const double read_time = read_time_ms(weighted_tokens(may_be_cached, request));
    return destination.wait + destination.round_trip +
           base::milliseconds{static_cast<std::int64_t>(read_time)};
}

/// Another region and the expected start of a request there.
struct remote_start {
    const remote_region* destination = nullptr;
    base::milliseconds start = base::milliseconds::max();
    bool may_be_cached = false;
};

remote_start earliest_start(const std::vector<remote_region>& others, const region_request& request)
{
    const auto* home = remote_home(others, request.session);
    remote_start best;
    for (const auto& other : others) {
        const bool may_be_cached = &other == home;
        const auto start = start_at(other, may_be_cached, request);
        if (best.destination == nullptr || start < best.start) {
            best = {&other, start, may_be_cached};
        }
    }
    return best;
}

/// Whether a request should go to its session's home region, which is not this one.
bool prefers_remote_home(const std::vector<remote_region>& others, const region_request& request,
                         base::milliseconds wait_limit)
{
    const auto* home = remote_home(others, request.session);
    if (home == nullptr || !request.is_engine || request.remote_attempt_failed ||
        rank_of(request.own_region, request.own_targets, request.session) >=
            rank_of(home->region, home->usable_targets, request.session)) {
        return false;
    }
    const auto saved = base::milliseconds{
        static_cast<std::int64_t>(read_time_ms(reread_factor * request.shared_tokens))};
    return saved > home->round_trip + remote_margin &&
           home->wait + home->round_trip <= wait_limit &&
           start_at(*home, true, request) <=
               fraction_of(request.latency_objective, local_start_fraction);
}

region_decision remote_decision(const remote_start& candidate, const region_request& request)
{
    const auto cached = candidate.may_be_cached ? request.shared_tokens : 0;
    return {region_decision_kind::remote,
            candidate.destination->region,
            candidate.destination->round_trip,
            candidate.destination->wait + candidate.destination->round_trip,
            candidate.start,
            request.prompt_tokens - std::min(request.prompt_tokens, cached)};
}

} // namespace

base::milliseconds longest_wait(const region_request& request)
{
    const double fraction = request.is_retry ? retry_start_fraction : start_fraction;
    const double own_start_ms = request.is_engine
                                    ? first_token_ms + static_cast<double>(request.prompt_tokens) /
                                                           default_prompt_tokens_per_ms
                                    : 0;
    const auto own_start = base::milliseconds{static_cast<std::int64_t>(own_start_ms)};
    const auto wait = std::max(fraction_of(request.latency_objective, fraction) - own_start,
                               fraction_of(request.latency_objective, min_wait_fraction));
    return std::min(wait, request.time_left);
}

local_limits local_limits_for(const std::vector<remote_region>& others,
                              const region_request& request)
{
    const auto longest = longest_wait(request);
    local_limits limits{std::max(base::milliseconds{0}, longest - request.reserved_wait),
                        base::milliseconds::max()};
    const auto best = earliest_start(others, request);
    if (best.destination != nullptr &&
        best.destination->wait + best.destination->round_trip <= longest) {
        limits.start = std::max(fraction_of(request.latency_objective, local_start_fraction),
                                best.start + remote_margin);
    }
    if (prefers_remote_home(others, request, longest)) {
        limits.reread_tokens = static_cast<std::uint32_t>(
            reread_fraction * static_cast<double>(request.shared_tokens));
    }
    return limits;
}

region_decision choose_region(const std::optional<placement_choice>& local_choice,
                              const std::vector<remote_region>& others,
                              const region_request& request)
{
    const auto limits = local_limits_for(others, request);
    const bool fits_locally =
        local_choice && local_choice->wait <= limits.wait && local_choice->start <= limits.start;
    region_decision local_decision{region_decision_kind::local,
                                   {},
                                   base::milliseconds{0},
                                   fits_locally ? local_choice->wait : limits.wait};
    const bool is_cached_locally =
        fits_locally && reread_tokens(request.prompt_tokens, request.shared_tokens,
                                      local_choice->unread_tokens) <= limits.reread_tokens;
    // A request that failed at a target is more likely to fail there again than elsewhere.
    if (is_cached_locally && !local_choice->is_repeat) {
        return local_decision;
    }
    const auto best = earliest_start(others, request);
    if (best.destination != nullptr &&
        best.destination->wait + best.destination->round_trip <= longest_wait(request)) {
        return remote_decision(best, request);
    }
    if (fits_locally) {
        return local_decision;
    }
    auto shortest = local_choice ? local_choice->wait : base::milliseconds::max();
    if (best.destination != nullptr) {
        shortest = std::min(shortest, best.destination->wait + best.destination->round_trip);
    }
    return {region_decision_kind::none, {}, base::milliseconds{0}, shortest};
}

region_decision decide_for_region(const remote_region& destination, const region_request& request)
{
    return remote_decision({&destination, start_at(destination, false, request), false}, request);
}

void remote_sends::note(const region_name& region, const service_name& service,
                        std::uint32_t tokens, base::time_point now)
{
    auto& list = m_sent[{region, service}];
    std::erase_if(list, [&](const sent& entry) { return now - entry.at > digest_interval; });
    list.push_back({now, tokens});
}

std::uint64_t remote_sends::recent_tokens(const region_name& region, const service_name& service,
                                          base::time_point now) const
{
    const auto found = m_sent.find({region, service});
    if (found == m_sent.end()) {
        return 0;
    }
    std::uint64_t tokens = 0;
    for (const auto& entry : found->second) {
        tokens += now - entry.at <= digest_interval ? entry.tokens : 0;
    }
    return tokens;
}

void region_digests::note(const region_digest& digest, base::time_point now)
{
    const auto made_at = now - digest.age;
    auto [known, is_new] = m_entries.try_emplace(digest.region);
    if (is_new || made_at >= known->second.made_at) {
        known->second = {digest, made_at};
    }
}

bool region_digests::knows(const region_name& region, base::time_point now) const
{
    const auto known = m_entries.find(region);
    return known != m_entries.end() && now - known->second.made_at <= max_digest_age;
}

remote_region region_without_digest(const region_name& region)
{
    return {region, base::milliseconds{0}, default_round_trip, 1};
}

std::vector<region_digest> region_digests::recent(base::time_point now) const
{
    std::vector<region_digest> recent_digests;
    for (const auto& [region, known] : m_entries) {
        if (now - known.made_at <= max_digest_age) {
            recent_digests.push_back(known.digest);
            recent_digests.back().age =
                std::chrono::duration_cast<base::milliseconds>(now - known.made_at);
        }
    }
    return recent_digests;
}

std::vector<remote_region> remote_regions(const region_digests& digests,
                                          const service_name& service, const remote_sends& sends,
                                          base::time_point now)
{
    const auto service_hash = base::hash_name(service.text());
    std::vector<remote_region> regions;
    for (const auto& digest : digests.recent(now)) {
        for (const auto& reported : digest.outlook) {
            if (reported.service != service_hash || reported.usable_targets == 0) {
                continue;
            }
            const auto own_wait_ms =
                static_cast<double>(sends.recent_tokens(digest.region, service, now)) /
                (default_prompt_tokens_per_ms * reported.usable_targets);
            const auto round_trip =
                digest.round_trip.count() > 0 ? digest.round_trip : default_round_trip;
            regions.push_back(
                {digest.region,
                 reported.wait + base::milliseconds{static_cast<std::int64_t>(own_wait_ms)},
                 round_trip, reported.usable_targets});
        }
    }
    return regions;
}

} // namespace chicorylink::fleet
