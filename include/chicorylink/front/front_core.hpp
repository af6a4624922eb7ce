#ifndef CHICORYLINK_FRONT_FRONT_CORE_HPP
#define CHICORYLINK_FRONT_FRONT_CORE_HPP

#include "chicorylink/base/line_buffer.hpp"
#include "chicorylink/base/log_line.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/crash_quarantine.hpp"
#include "chicorylink/fleet/fleet_quota.hpp"
#include "chicorylink/fleet/limit_watch.hpp"
#include "chicorylink/fleet/limited_regions.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/retry_budget.hpp"
#include "chicorylink/fleet/retry_detector.hpp"
#include "chicorylink/fleet/return_schedule.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/fleet/service_returns.hpp"
#include "chicorylink/fleet/target_pacer.hpp"
#include "chicorylink/fleet/target_pool.hpp"
#include "chicorylink/front/connection_pool.hpp"
#include "chicorylink/front/field_inventory.hpp"
#include "chicorylink/front/front_settings.hpp"
#include "chicorylink/front/placement_link.hpp"
#include "chicorylink/front/platform_protocol.hpp"
#include "chicorylink/front/request_relief.hpp"
#include "chicorylink/front/stream_versions.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace chicorylink::front {

class exchange;
class request_memory;
class response_buffers;

/// @brief State that the parts of one daemon share. Used on the event loop's thread only.
struct front_core {
    front_core(boost::asio::io_context& event_loop, front_settings initial_settings,
               const platform_protocol& platform, base::time_point now);

    boost::asio::io_context& loop;
    front_settings settings;
    const platform_protocol& protocol;
    base::line_buffer log;
    base::metrics counters;
    fleet::published_state state;
    fleet::roster members;
    fleet::target_pool pool;
    fleet::placement_coordinator coordinator;
    fleet::fleet_quota quota;
    fleet::retry_budget retries;
    /// For cold targets and targets that state a limit, when this VM chooses them by itself.
    fleet::target_pacer pacer;
    fleet::limit_watch limits;
    /// For requests to other regions in which all targets of the service state a limit.
    fleet::region_pacer region_pacer;
    /// For callers that targets with a limited rate have no room for.
    fleet::return_schedule returns;
    /// For callers that would wait too long.
    fleet::service_returns reserved_returns;
    fleet::remote_sends remote_traffic;
    fleet::region_digests remote_digests;
    fleet::retry_detector caller_retries;
    /// Parts of prompts that crash targets.
    fleet::crash_quarantine quarantine;
    connection_pool connections;
    /// Shared with connections that outlive this object.
    std::shared_ptr<response_buffers> response_bytes;
    std::shared_ptr<request_memory> request_bytes;
    request_readers readers;
    field_inventory target_fields;
    /// Descriptors that the process may open.
    std::size_t descriptor_limit;
    /// None until the daemon has opened its listeners.
    std::optional<placement_link> placements;
    stream_versions stream_origins;
    /// Requests that are in progress.
    std::set<exchange*> exchanges;
    /// When the process last resumed after a pause or a long delay of its event loop. Data that
    /// arrived in the meantime may not be read yet.
    base::time_point resumed_at{};
    /// When the stop signal arrived, at the earliest.
    std::optional<base::time_point> leaving_since;
    /// Whether the stop time is nearly used up and the requests in progress were ended.
    bool has_ended_requests = false;
};

/// The TTL of a directory response, and for how many TTLs some callers keep one.
inline constexpr base::milliseconds directory_ttl{1000};
inline constexpr int max_kept_ttls = 3;

/// @brief Whether this VM is ready for callers, or the reason why it isn't.
enum class readiness { ready, leaving, no_configuration, no_targets, stale_configuration };

[[nodiscard]] readiness readiness_of(const front_core& core, base::time_point now);
[[nodiscard]] std::string_view to_string(readiness value);

/// @brief Whether new requests are still accepted. A leaving VM accepts them until callers have had
/// time to switch to another VM; later ones might not finish before the process ends.
[[nodiscard]] bool accepts_new_requests(const front_core& core, base::time_point now);

/// @brief When a VM that was told to stop ends the requests in progress; none for other VMs.
[[nodiscard]] std::optional<base::time_point> end_of_requests(const front_core& core);

/// @brief When a caller that a leaving VM refuses should return: at once if another VM of the
/// region takes requests, else when this one has exited and may be back.
[[nodiscard]] base::milliseconds delay_until_served_elsewhere(const front_core& core,
                                                              base::time_point now);

/// @brief The limits of the configuration in force, or the usual ones without a configuration.
[[nodiscard]] fleet::caller_limits limits_of(const front_core& core);

/// @brief Most connections that callers may have open, and as many that other VMs may.
[[nodiscard]] std::size_t max_connections(const front_core& core);

/// @brief Whether the configuration was confirmed as the newest one recently enough that no
/// withdrawn key is accepted beyond the withdrawal bound.
[[nodiscard]] bool keys_are_fresh(const front_core& core, base::time_point now);

/// @brief Applies a notice that a target gave to another VM of the region. A target that newly
/// leaves is logged.
/// @param source The sender, for the log.
/// @param forward Whether this VM passes the notice on to the rest of the region.
void apply_target_notice(front_core& core, const fleet::target_notice& notice,
                         std::string_view source, bool forward, base::time_point now);

/// @brief Applies what a target stated to another VM of the region about the rate that it takes,
/// and logs a change.
/// @param source The sender, for the log.
/// @param is_relayed Whether the report comes from a digest.
void apply_limit_report(front_core& core, const fleet::limit_report& report,
                        std::string_view source, bool is_relayed, base::time_point now);

/// @brief Logs and counts a change of the rate that a target takes.
/// @param request The request whose response told; empty when another VM did.
void log_limit_change(front_core& core, const fleet::tracked_target& target,
                      std::string_view request, std::string_view source, base::time_point now);

/// @brief Applies what another VM reported about parts of prompts that crash targets.
/// @param is_relayed Whether the reports come from a digest.
/// @param delay Time since the reports were made.
void apply_crash_reports(front_core& core, const fleet::crash_reports& reports, bool is_relayed,
                         base::milliseconds delay, base::time_point now);

/// @brief Decides which parts of prompts are quarantined, and logs and counts each change.
void update_quarantine(front_core& core, base::time_point now);

/// @brief Runs one task of the daemon. An unexpected exception is logged and ends only that task,
/// so that one request or message can't take down the others.
/// @param part The task's name, for the log.
/// @return Whether the task finished without an exception.
bool run_guarded(front_core& core, std::string_view part, const std::function<void()>& work);

/// @brief Appends a line to the log.
void write_log(front_core& core, const base::log_line& line);

/// @brief Starts a log line with the event, the time of day and this VM's name.
[[nodiscard]] base::log_line log_event(const front_core& core, std::string_view event);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FRONT_CORE_HPP
