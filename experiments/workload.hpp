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

/// Start of virtual time; requests are measured from here plus the warm-up.
inline constexpr base::time_point epoch{std::chrono::hours{1}};

inline constexpr std::size_t region_count = 3;
inline constexpr std::size_t team_count = 5;

/// @brief One kind of conversation.
struct session_kind {
    double share = 1.0;
    std::int64_t min_opening_tokens = 200;
    std::int64_t max_opening_tokens = 400;
    std::int64_t follow_up_tokens = 100;
    std::int64_t min_answer_tokens = 40;
    std::int64_t max_answer_tokens = 80;
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

/// @brief The two users at their current sizes.
[[nodiscard]] user make_naipes();
[[nodiscard]] user make_rihla();

[[nodiscard]] std::string region_name(std::size_t region);
[[nodiscard]] std::string team_name(std::size_t team);
[[nodiscard]] base::route_id chat_route();
[[nodiscard]] base::route_id service_route();

/// @brief The rules of a user. Team 1 calls only in its home region 1; team 3 may not use region 2.
[[nodiscard]] std::shared_ptr<const rules::rulebook> make_rules(const user& profile);

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
    /// Prompt and response blocks, which the engine's cache holds afterwards.
    std::vector<routing::prefix_hash> blocks_after;
};

/// @brief The amount of traffic.
struct traffic {
    base::milliseconds length{240'000};
    /// Load of each region as a fraction of its capacity.
    std::vector<double> load{0.7, 0.7, 0.7};
    /// `busy_factor` multiplies the traffic of this team; no team by default.
    std::size_t busy_team = team_count;
    double busy_factor = 1.0;
};

/// @brief Calls per second that one engine completes with a full batch and a cache that holds all
/// conversations.
[[nodiscard]] double engine_capacity(const user& profile);

/// @brief The schedule of all calls, sorted by time; the same for all policies.
[[nodiscard]] std::vector<call> make_calls(const user& profile, const traffic& amount,
                                           std::uint64_t seed);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_WORKLOAD_HPP
