#ifndef CHICORYLINK_EXPERIMENTS_WORKLOAD_HPP
#define CHICORYLINK_EXPERIMENTS_WORKLOAD_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "engine_model.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicorylink::experiment {

/// The start of virtual time; requests are measured from here on plus the warm-up.
inline constexpr base::time_point epoch{std::chrono::hours{1}};

inline constexpr std::size_t region_count = 3;
inline constexpr std::size_t team_count = 5;

/// @brief One kind of conversation.
struct session_kind {
    double share = 1.0;
    std::int64_t least_opening = 200;
    std::int64_t most_opening = 400;
    std::int64_t follow_up = 100;
    std::int64_t least_answer = 40;
    std::int64_t most_answer = 80;
    double mean_turns = 2.0;
    double mean_pause_seconds = 8.0;
    rules::priority order = rules::priority::normal;
};

/// @brief The fleet and the traffic of one of the users.
struct user {
    std::string name;
    std::vector<std::uint32_t> engines;
    engine_traits engine;
    std::vector<session_kind> kinds;
    std::vector<double> team_shares;
    base::bytes_per_second link_rate;
    rules::policy weights;
};

/// @brief The two users at the sizes of today.
[[nodiscard]] user make_naipes();
[[nodiscard]] user make_rihla();

[[nodiscard]] std::string region_name(std::size_t region);
[[nodiscard]] std::string team_name(std::size_t team);
[[nodiscard]] base::route_id chat_route();
[[nodiscard]] base::route_id service_route();

/// @brief The rules of a user. Team 1 is bound to its home, region 1; team 3 may not use region 2.
[[nodiscard]] std::shared_ptr<const rules::rulebook> make_rules(const user& who);

/// @brief One call of the schedule.
struct call {
    base::time_point at{};
    std::size_t region = 0;
    std::size_t team = 0;
    bool is_service = false;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 0;
    rules::priority order = rules::priority::normal;
    routing::prompt_prefix prefix;
    /// The prompt and the answer, which the engine's cache holds afterwards.
    std::vector<routing::prefix_hash> blocks_after;
};

/// @brief How much traffic there is.
struct traffic {
    base::milliseconds length{240'000};
    /// Load of each region as a part of its capacity.
    std::vector<double> load{0.7, 0.7, 0.7};
    /// Multiplies the traffic of one team.
    std::size_t busy_team = team_count;
    double busy_factor = 1.0;
};

/// @brief Calls a second that one engine completes when its batch is always full and its cache
/// holds every conversation that it began.
[[nodiscard]] double engine_capacity(const user& who);

/// @brief The schedule of all calls, sorted by time; the same for all policies.
[[nodiscard]] std::vector<call> make_calls(const user& who, const traffic& amount,
                                           std::uint64_t seed);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_WORKLOAD_HPP
