#include "chicorylink/fleet/region_choice.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Part of the latency objective in which a request must be expected to begin; the rest is for what
/// the expectation misses. A caller that came back has the whole.
constexpr double start_part_of_objective = 0.85;
constexpr double start_part_of_return = 1.0;

/// Part of the objective that any request may wait, however long its own prompt takes.
constexpr double least_wait_part = 0.25;

/// Part of the objective up to which a request stays in its region whatever others promise: a
/// region loses its cached prompts with each request that leaves it.
constexpr double stay_part_of_objective = 0.5;

/// What another region has to be faster by, since its news is old and links cost.
constexpr base::milliseconds leave_margin{60};

/// Round trip to a region before one was measured.
constexpr base::milliseconds unknown_round_trip{120};

/// News of other regions comes at this interval and takes the way; what was sent since is added.
constexpr base::milliseconds news_interval{700};

base::milliseconds part_of(base::milliseconds whole, double part)
{
    return base::milliseconds{static_cast<std::int64_t>(static_cast<double>(whole.count()) * part)};
}

/// Part of a session's shared tokens that may be read here though its own region holds them: parts
/// that all sessions begin with, and what an engine has evicted.
constexpr double reread_part = 0.2;

double rank_of(const region_name& region, std::uint32_t targets, std::uint64_t session)
{
    return base::rendezvous_rank(base::hash_pair(session, base::hash_name(region.text())),
                                 std::max(targets, 1U));
}

/// The other region that a session's requests leave for, so that one other region reads its parts
/// and not each of them.
const remote_region* holder_elsewhere(const std::vector<remote_region>& others,
                                      std::uint64_t session)
{
    const auto rank = [&](const remote_region& where) {
        return rank_of(where.region, where.usable_targets, session);
    };
    const auto best =
        std::max_element(others.begin(), others.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return best == others.end() ? nullptr : &*best;
}

double reading_ms(double tokens)
{
    return tokens / default_prompt_speed;
}

/// The tokens of a prompt that count against another region; those that are read again there weigh
/// more.
double tokens_at(bool may_hold, const region_request& request)
{
    if (!request.is_engine) {
        return 0;
    }
    const double shared = request.shared_tokens;
    return std::max(0.0, request.prompt_tokens + (may_hold ? -shared : reread_factor * shared));
}

base::milliseconds start_at(const remote_region& where, bool may_hold,
                            const region_request& request)
{
    const double reading = reading_ms(tokens_at(may_hold, request));
    return where.wait + where.round_trip + base::milliseconds{static_cast<std::int64_t>(reading)};
}

/// Another region and when a request would begin there.
struct remote_start {
    const remote_region* where = nullptr;
    base::milliseconds start = base::milliseconds::max();
    bool may_hold = false;
};

remote_start first_to_start(const std::vector<remote_region>& others, const region_request& request)
{
    const auto* holder = holder_elsewhere(others, request.session);
    remote_start best;
    for (const auto& other : others) {
        const bool may_hold = &other == holder;
        const auto start = start_at(other, may_hold, request);
        if (best.where == nullptr || start < best.start) {
            best = {&other, start, may_hold};
        }
    }
    return best;
}

/// Whether a request should go to its session's own region, which is not this one.
bool belongs_elsewhere(const std::vector<remote_region>& others, const region_request& request,
                       base::milliseconds wait_limit)
{
    const auto* holder = holder_elsewhere(others, request.session);
    if (holder == nullptr || !request.is_engine || request.was_sent_away ||
        rank_of(request.own_region, request.own_targets, request.session) >=
            rank_of(holder->region, holder->usable_targets, request.session)) {
        return false;
    }
    const auto saved = base::milliseconds{
        static_cast<std::int64_t>(reading_ms(reread_factor * request.shared_tokens))};
    return saved > holder->round_trip + leave_margin &&
           holder->wait + holder->round_trip <= wait_limit &&
           start_at(*holder, true, request) <=
               part_of(request.latency_objective, stay_part_of_objective);
}

place place_in(const remote_start& there, const region_request& request)
{
    const auto held = there.may_hold ? request.shared_tokens : 0;
    return {place_kind::elsewhere,
            there.where->region,
            there.where->round_trip,
            there.where->wait + there.where->round_trip,
            there.start,
            request.prompt_tokens - std::min(request.prompt_tokens, held)};
}

} // namespace

base::milliseconds longest_wait(const region_request& request)
{
    const double part = request.is_return ? start_part_of_return : start_part_of_objective;
    const double own_ms =
        request.is_engine
            ? first_token_ms + static_cast<double>(request.prompt_tokens) / default_prompt_speed
            : 0;
    const auto own = base::milliseconds{static_cast<std::int64_t>(own_ms)};
    const auto wait = std::max(part_of(request.latency_objective, part) - own,
                               part_of(request.latency_objective, least_wait_part));
    return std::min(wait, request.time_left);
}

stay_limits limits_here(const std::vector<remote_region>& others, const region_request& request)
{
    stay_limits limits{longest_wait(request), base::milliseconds::max()};
    const auto best = first_to_start(others, request);
    if (best.where != nullptr && best.where->wait + best.where->round_trip <= limits.wait) {
        limits.start = std::max(part_of(request.latency_objective, stay_part_of_objective),
                                best.start + leave_margin);
    }
    if (belongs_elsewhere(others, request, limits.wait)) {
        limits.reread_tokens =
            static_cast<std::uint32_t>(reread_part * static_cast<double>(request.shared_tokens));
    }
    return limits;
}

place choose_place(const std::optional<placement_choice>& here,
                   const std::vector<remote_region>& others, const region_request& request)
{
    const auto limits = limits_here(others, request);
    const bool fits_here = here && here->wait <= limits.wait && here->start <= limits.start;
    place stays{place_kind::here, {}, base::milliseconds{0}, fits_here ? here->wait : limits.wait};
    const bool is_held_here =
        fits_here && reread_tokens(request.prompt_tokens, request.shared_tokens,
                                   here->unread_tokens) <= limits.reread_tokens;
    // What failed at a target is more likely to fail there again than at another one.
    if (is_held_here && !here->is_repeat) {
        return stays;
    }
    const auto best = first_to_start(others, request);
    if (best.where != nullptr && best.where->wait + best.where->round_trip <= limits.wait) {
        return place_in(best, request);
    }
    if (fits_here) {
        return stays;
    }
    auto shortest = here ? here->wait : base::milliseconds::max();
    if (best.where != nullptr) {
        shortest = std::min(shortest, best.where->wait + best.where->round_trip);
    }
    return {place_kind::nowhere, {}, base::milliseconds{0}, shortest};
}

void remote_sends::note(const region_name& region, const service_name& service,
                        std::uint32_t tokens, base::time_point now)
{
    auto& list = m_sent[{region, service}];
    std::erase_if(list, [&](const sent& entry) { return now - entry.at > news_interval; });
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
        tokens += now - entry.at <= news_interval ? entry.tokens : 0;
    }
    return tokens;
}

void region_news::note(const region_digest& digest, base::time_point now)
{
    const auto made_at = now - digest.age;
    auto [known, is_new] = m_entries.try_emplace(digest.region);
    if (is_new || made_at >= known->second.made_at) {
        known->second = {digest, made_at};
    }
}

bool region_news::knows(const region_name& region, base::time_point now) const
{
    const auto known = m_entries.find(region);
    return known != m_entries.end() && now - known->second.made_at <= news_bound;
}

remote_region region_without_news(const region_name& region)
{
    return {region, base::milliseconds{0}, unknown_round_trip, 1};
}

std::vector<region_digest> region_news::recent(base::time_point now) const
{
    std::vector<region_digest> all;
    for (const auto& [region, known] : m_entries) {
        if (now - known.made_at <= news_bound) {
            all.push_back(known.digest);
            all.back().age = std::chrono::duration_cast<base::milliseconds>(now - known.made_at);
        }
    }
    return all;
}

std::vector<remote_region> remote_regions(const region_news& news, const service_name& service,
                                          const remote_sends& sends, base::time_point now)
{
    const auto wanted = base::hash_name(service.text());
    std::vector<remote_region> regions;
    for (const auto& digest : news.recent(now)) {
        for (const auto& told : digest.outlook) {
            if (told.service != wanted || told.usable_targets == 0) {
                continue;
            }
            const auto own = static_cast<double>(sends.recent_tokens(digest.region, service, now)) /
                             (default_prompt_speed * told.usable_targets);
            const auto round_trip =
                digest.round_trip.count() > 0 ? digest.round_trip : unknown_round_trip;
            regions.push_back({digest.region,
                               told.wait + base::milliseconds{static_cast<std::int64_t>(own)},
                               round_trip, told.usable_targets});
        }
    }
    return regions;
}

} // namespace chicorylink::fleet
