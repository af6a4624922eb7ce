#include "workload.hpp"

#include "chicorylink/rules/rulebook_builder.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace chicorylink::experiment {
namespace {

/// Tokens of the instructions at the start of each prompt; shared by the calls of a team.
constexpr std::int64_t instruction_tokens = 2 * routing::prefix_block_tokens;

/// Fraction of the calls that go to the plain service.
constexpr double service_share = 0.1;

constexpr std::size_t home_team = 1;
constexpr std::size_t home_region = 1;
constexpr std::size_t restricted_team = 3;
constexpr std::size_t excluded_region = 2;

constexpr base::milliseconds chat_deadline{20'000};

using generator = std::mt19937_64;

double uniform(generator& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

double exponential(generator& random, double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(random);
}

std::size_t pick_index(generator& random, const std::vector<double>& shares)
{
    return static_cast<std::size_t>(
        std::discrete_distribution<int>(shares.begin(), shares.end())(random));
}

bool has_callers_in(std::size_t team, std::size_t region)
{
    if (team == home_team) {
        return region == home_region;
    }
    return team != restricted_team || region != excluded_region;
}

routing::prompt_prefix prefix_of(std::size_t team, std::uint64_t session, std::int64_t prompt)
{
    routing::prompt_prefix result;
    result.session = routing::prefix_hash{session};
    const auto full_blocks =
        std::min<std::int64_t>(prompt / routing::prefix_block_tokens, routing::max_prefix_blocks);
    for (std::int64_t block = 0; block < full_blocks; ++block) {
        const auto shared = block < instruction_tokens / routing::prefix_block_tokens;
        const auto owner = shared ? base::hash_name(team_name(team)) : session;
        result.blocks.emplace_back(base::hash_pair(owner, static_cast<std::uint64_t>(block)));
    }
    return result;
}

std::int64_t uniform_integer(generator& random, std::int64_t minimum, std::int64_t maximum)
{
    return std::uniform_int_distribution<std::int64_t>(minimum, maximum)(random);
}

/// Adds the calls of one conversation.
void add_session(std::vector<call>& calls, const session_kind& kind, std::size_t region,
                 std::size_t team, base::time_point begin, generator& random)
{
    const auto session = random();
    auto at = begin;
    auto prompt = instruction_tokens +
                  uniform_integer(random, kind.min_opening_tokens, kind.max_opening_tokens);
    while (true) {
        call one{.at = at, .region = region, .team = team, .order = kind.order, .prefix = {}};
        one.prompt_tokens = prompt;
        one.answer_tokens = uniform_integer(random, kind.min_answer_tokens, kind.max_answer_tokens);
        one.prefix = prefix_of(team, session, prompt);
        prompt += one.answer_tokens;
        one.blocks_after = prefix_of(team, session, prompt).blocks;
        calls.push_back(std::move(one));
        if (uniform(random) < 1.0 / kind.mean_turns) {
            return;
        }
        prompt += kind.follow_up_tokens;
        const std::chrono::duration<double> pause{2.0 +
                                                  exponential(random, kind.mean_pause_seconds)};
        at += std::chrono::duration_cast<base::nanoseconds>(pause);
    }
}

double mean_turns(const user& profile)
{
    double mean = 0;
    for (const auto& kind : profile.kinds) {
        mean += kind.share * kind.mean_turns;
    }
    return mean;
}

/// Operators weight teams by the traffic that they bought.
std::uint32_t weight_of(double team_share)
{
    constexpr double total_weight = 100.0;
    return static_cast<std::uint32_t>(std::lround(team_share * total_weight));
}

session_kind pick_kind(const user& profile, generator& random)
{
    std::vector<double> shares;
    for (const auto& kind : profile.kinds) {
        shares.push_back(kind.share);
    }
    return profile.kinds[pick_index(random, shares)];
}

/// Adds conversations and service calls of one team in one region.
void add_team(std::vector<call>& calls, const user& profile, std::size_t region, std::size_t team,
              double calls_per_second, base::milliseconds length, generator& random)
{
    const std::chrono::duration<double> span = length;
    const auto sessions = calls_per_second * (1.0 - service_share) / mean_turns(profile);
    for (auto at = exponential(random, 1.0 / sessions); at < span.count();
         at += exponential(random, 1.0 / sessions)) {
        const auto begin = epoch + std::chrono::duration_cast<base::nanoseconds>(
                                       std::chrono::duration<double>(at));
        add_session(calls, pick_kind(profile, random), region, team, begin, random);
    }
    const auto services = calls_per_second * service_share;
    for (auto at = exponential(random, 1.0 / services); at < span.count();
         at += exponential(random, 1.0 / services)) {
        call one{.region = region, .team = team, .is_service = true, .answer_tokens = 4};
        one.at = epoch +
                 std::chrono::duration_cast<base::nanoseconds>(std::chrono::duration<double>(at));
        calls.push_back(std::move(one));
    }
}

} // namespace

user make_naipes()
{
    user profile{.name = "naipes", .engines = {7, 7, 6}};
    profile.kinds = {{.share = 0.3,
                      .min_opening_tokens = 3000,
                      .max_opening_tokens = 9000,
                      .follow_up_tokens = 150,
                      .min_answer_tokens = 150,
                      .max_answer_tokens = 450,
                      .mean_turns = 4.0,
                      .order = rules::priority::normal},
                     {.share = 0.7,
                      .min_opening_tokens = 100,
                      .max_opening_tokens = 500,
                      .follow_up_tokens = 60,
                      .min_answer_tokens = 30,
                      .max_answer_tokens = 120,
                      .mean_turns = 1.5,
                      .order = rules::priority::high}};
    profile.team_shares = {0.40, 0.26, 0.19, 0.10, 0.05};
    profile.link_rate = base::bytes_per_second{250'000'000};
    profile.weights.tail_weight = 200;
    profile.weights.worst_team_weight = 200;
    return profile;
}

user make_rihla()
{
    user profile{.name = "rihla", .engines = {4, 4, 4}};
    profile.kinds = {{.share = 0.4,
                      .min_opening_tokens = 1000,
                      .max_opening_tokens = 4000,
                      .follow_up_tokens = 200,
                      .min_answer_tokens = 200,
                      .max_answer_tokens = 500,
                      .mean_turns = 3.0,
                      .order = rules::priority::normal},
                     {.share = 0.6,
                      .min_opening_tokens = 80,
                      .max_opening_tokens = 400,
                      .follow_up_tokens = 60,
                      .min_answer_tokens = 40,
                      .max_answer_tokens = 120,
                      .mean_turns = 2.0,
                      .order = rules::priority::high}};
    profile.team_shares = {0.38, 0.26, 0.20, 0.11, 0.05};
    profile.link_rate = base::bytes_per_second{17'500'000};
    profile.weights.refusal_weight = 200;
    profile.weights.sent_away_weight = 200;
    return profile;
}

std::string region_name(std::size_t region)
{
    return "region-" + std::to_string(region);
}

std::string team_name(std::size_t team)
{
    return "team-" + std::to_string(team);
}

base::route_id chat_route()
{
    return base::id_of<base::route_id>("chat");
}

base::route_id service_route()
{
    return base::id_of<base::route_id>("service");
}

std::shared_ptr<const rules::rulebook> make_rules(const user& profile)
{
    rules::rulebook_builder builder{base::config_version{1}};
    builder.routing_policy(profile.weights);
    builder.add(rules::route{.id = chat_route(), .name = "chat", .deadline = chat_deadline});
    builder.add(rules::route{.id = service_route(),
                             .name = "service",
                             .kind = rules::route_kind::service,
                             .deadline = chat_deadline});
    for (std::size_t region = 0; region < region_count; ++region) {
        const auto id = base::id_of<base::region_id>(region_name(region));
        builder.add(rules::region{.id = id, .name = region_name(region)});
        for (std::uint32_t index = 0; index <= profile.engines[region]; ++index) {
            const auto is_service = index == profile.engines[region];
            const auto name = region_name(region) + "-" + std::to_string(index);
            builder.add(rules::target{.id = base::id_of<base::target_id>(name),
                                      .name = name,
                                      .region = id,
                                      .routes = {is_service ? service_route() : chat_route()},
                                      .slots = profile.engine.slots});
        }
        for (std::size_t other = 0; other < region; ++other) {
            builder.add(rules::link{.a = id,
                                    .b = base::id_of<base::region_id>(region_name(other)),
                                    .rate = profile.link_rate});
        }
    }
    for (std::size_t team = 0; team < team_count; ++team) {
        rules::team entry{.id = base::id_of<base::team_id>(team_name(team)),
                          .name = team_name(team),
                          .regions = {},
                          .rate = base::tokens_per_second{1'000'000},
                          .burst = base::tokens{1'000'000},
                          .weight = weight_of(profile.team_shares[team])};
        for (std::size_t region = 0; region < region_count; ++region) {
            if (team == home_team || has_callers_in(team, region)) {
                entry.regions.push_back(base::id_of<base::region_id>(region_name(region)));
            }
        }
        if (team == home_team) {
            entry.home = base::id_of<base::region_id>(region_name(home_region));
        }
        builder.add(std::move(entry));
    }
    return builder.build().value();
}

double engine_capacity(const user& profile)
{
    constexpr std::uint64_t capacity_seed = 42;
    constexpr std::size_t sample = 4000;
    generator random(capacity_seed);
    std::vector<call> calls;
    while (calls.size() < sample) {
        add_session(calls, pick_kind(profile, random), 0, 0, epoch, random);
    }
    auto traits = profile.engine;
    traits.cache_blocks = sample * routing::max_prefix_blocks;
    engine_model engine(traits);
    for (std::size_t index = 0; index < calls.size(); ++index) {
        engine.submit({.id = index,
                       .blocks = calls[index].blocks_after,
                       .prompt_tokens = calls[index].prompt_tokens,
                       .answer_tokens = calls[index].answer_tokens},
                      epoch);
    }
    auto last = epoch;
    while (const auto next = engine.next_event()) {
        last = *next;
        (void)engine.advance(*next);
    }
    const std::chrono::duration<double> elapsed = last - epoch;
    return static_cast<double>(calls.size()) / elapsed.count();
}

std::vector<call> make_calls(const user& profile, const traffic& amount, std::uint64_t seed)
{
    generator random(seed);
    std::vector<call> calls;
    const auto capacity = engine_capacity(profile);
    for (std::size_t region = 0; region < region_count; ++region) {
        double shares = 0;
        for (std::size_t team = 0; team < team_count; ++team) {
            shares += has_callers_in(team, region) ? profile.team_shares[team] : 0.0;
        }
        // The capacity covers calls to engines only; service calls are added to it.
        const auto chat = capacity * profile.engines[region] * amount.load[region];
        const auto total_rate = chat / (1.0 - service_share);
        for (std::size_t team = 0; team < team_count; ++team) {
            if (!has_callers_in(team, region)) {
                continue;
            }
            const auto factor = team == amount.busy_team ? amount.busy_factor : 1.0;
            const auto rate = total_rate * profile.team_shares[team] / shares * factor;
            add_team(calls, profile, region, team, rate, amount.length, random);
        }
    }
    std::erase_if(calls, [&](const call& one) { return one.at >= epoch + amount.length; });
    std::stable_sort(calls.begin(), calls.end(),
                     [](const call& left, const call& right) { return left.at < right.at; });
    return calls;
}

} // namespace chicorylink::experiment
