#ifndef CHICORYLINK_FRONT_FRONT_CORE_HPP
#define CHICORYLINK_FRONT_FRONT_CORE_HPP

#include "chicorylink/base/line_buffer.hpp"
#include "chicorylink/base/log_line.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/fleet/caller_patience.hpp"
#include "chicorylink/fleet/cold_allowance.hpp"
#include "chicorylink/fleet/fleet_quota.hpp"
#include "chicorylink/fleet/placement_desk.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/retry_allowance.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/fleet/target_pool.hpp"
#include "chicorylink/front/connection_pool.hpp"
#include "chicorylink/front/front_settings.hpp"
#include "chicorylink/front/outer_protocol.hpp"
#include "chicorylink/front/placement_link.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace chicorylink::front {

class exchange;

/// @brief What the parts of one daemon share. Used on the loop's thread only.
struct front_core {
    front_core(boost::asio::io_context& on, front_settings with, const outer_protocol& speaking,
               base::time_point now);

    boost::asio::io_context& loop;
    front_settings settings;
    const outer_protocol& protocol;
    base::line_buffer log;
    base::metrics counters;
    fleet::published_state state;
    fleet::roster members;
    fleet::target_pool pool;
    fleet::placement_desk desk;
    fleet::fleet_quota quota;
    fleet::retry_allowance retries;
    fleet::cold_allowance cold;
    fleet::remote_sends remote;
    fleet::region_news news;
    fleet::caller_patience patience;
    connection_pool connections;
    /// None until the daemon listens.
    std::optional<placement_link> placements;
    /// Requests that are not answered yet.
    std::set<exchange*> exchanges;
    /// When the process last went on after it had stood still, or did its work far too late. What
    /// others sent in the meantime may not be read yet.
    base::time_point awake_since{};
    /// When the signal to stop came.
    std::optional<base::time_point> leaving_since;
};

/// How long callers keep an answer of the directory, and how many times as long some of them do.
inline constexpr base::milliseconds directory_lifetime{1000};
inline constexpr int lifetimes_kept = 3;

/// @brief Whether this VM takes callers, and why not.
enum class readiness { ready, leaving, no_configuration, no_targets, stale_configuration };

[[nodiscard]] readiness readiness_of(const front_core& core, base::time_point now);
[[nodiscard]] std::string_view to_string(readiness value);

/// @brief Whether new requests are still taken. A VM that leaves takes them until callers have had
/// time to move; what it takes later might not end before the process does.
[[nodiscard]] bool takes_new_requests(const front_core& core, base::time_point now);

/// @brief Whether the configuration was proved to be the newest one so recently that a withdrawn
/// key can't be in force beyond its bound.
[[nodiscard]] bool keys_are_fresh(const front_core& core, base::time_point now);

/// @brief Takes in what a target asked of another VM of the region, and logs what is news.
/// @param pass_on Whether this VM tells the rest of the region.
void take_target_notice(front_core& core, const fleet::target_notice& notice,
                        std::string_view source, bool pass_on, base::time_point now);

/// @brief Does a part of the daemon's work. An unexpected exception is logged and ends that part
/// only: one request or message must not take the others down.
/// @return Whether it was done to its end.
bool run_guarded(front_core& core, std::string_view part, const std::function<void()>& work);

/// @brief Adds a line with the VM's name and the time of day to the log.
void write_log(front_core& core, const base::log_line& line);

/// @brief A line that names its time and VM.
[[nodiscard]] base::log_line log_event(const front_core& core, std::string_view event);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FRONT_CORE_HPP
