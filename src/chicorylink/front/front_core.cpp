#include "chicorylink/front/front_core.hpp"

#include "chicorylink/fleet/retry_after_delay.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/response_buffers.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

/// Requests with a key are refused this long before the withdrawal bound, in case a timer fires
/// late. The bound itself is safe: it runs from the withdrawal to the caller's send, and a
/// confirmation counts from when its request was sent.
constexpr base::milliseconds withdrawal_margin{500};

/// Requests in progress are ended this long before the platform would kill the process.
constexpr base::milliseconds exit_margin{400};

/// One connection is allowed for so much of the process's memory: 3,840 with 120 MB. A connection
/// without a request takes a few KB, so that all of them leave room for requests.
constexpr std::size_t memory_per_connection = 32UL * 1024;

/// Half of the descriptors are left to targets, other VMs and the store.
constexpr std::size_t descriptors_per_connection = 2;

std::size_t descriptor_limit_of_process()
{
    rlimit limit{};
    constexpr std::size_t usual_limit = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : usual_limit;
}

} // namespace

front_core::front_core(boost::asio::io_context& event_loop, front_settings initial_settings,
                       const platform_protocol& platform, base::time_point now)
    : loop(event_loop), settings(std::move(initial_settings)), protocol(platform),
      log(STDOUT_FILENO), state(platform.decode_item),
      members(settings.self, settings.seed_ips, region_names(settings)),
      quota(settings.self.region, now), retries(settings.bounds.retries, settings.start, now),
      pacer(now + fleet::designation_delay), connections(event_loop),
      response_bytes(std::make_shared<response_buffers>(settings.memory_bytes)),
      request_bytes(std::make_shared<request_memory>(settings.memory_bytes)),
      target_fields(platform.names), descriptor_limit(descriptor_limit_of_process()),
      stream_origins(*this)
{
}

fleet::caller_limits limits_of(const front_core& core)
{
    return core.state.config() ? core.state.config()->limits() : fleet::caller_limits{};
}

std::size_t max_connections(const front_core& core)
{
    return std::min(core.settings.memory_bytes / memory_per_connection,
                    core.descriptor_limit / descriptors_per_connection);
}

std::set<fleet::region_name> region_names(const front_settings& settings)
{
    std::set<fleet::region_name> names;
    for (const auto& [data_center, region] : settings.regions) {
        names.insert(region);
    }
    return names;
}

bool accepts_new_requests(const front_core& core, base::time_point now)
{
    return !core.leaving_since ||
           (!core.has_ended_requests && now - *core.leaving_since < directory_ttl * max_kept_ttls);
}

std::optional<base::time_point> end_of_requests(const front_core& core)
{
    if (!core.leaving_since) {
        return std::nullopt;
    }
    return *core.leaving_since + core.settings.bounds.stop_time - exit_margin;
}

base::milliseconds delay_until_served_elsewhere(const front_core& core, base::time_point now)
{
    const auto& members = core.members.members();
    const bool is_served = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return entry.second.region == core.settings.self.region &&
               fleet::roster::takes_requests(entry.second, now);
    });
    const auto ends_at = end_of_requests(core);
    if (is_served || !ends_at || *ends_at <= now) {
        return fleet::min_retry_after;
    }
    return std::chrono::duration_cast<base::milliseconds>(*ends_at - now) + fleet::min_retry_after;
}

bool keys_are_fresh(const front_core& core, base::time_point now)
{
    const auto confirmed = core.state.confirmed_at();
    return confirmed && now - *confirmed < core.settings.bounds.key_withdrawal - withdrawal_margin;
}

readiness readiness_of(const front_core& core, base::time_point now)
{
    if (core.leaving_since) {
        return readiness::leaving;
    }
    if (!core.state.config()) {
        return readiness::no_configuration;
    }
    if (core.state.targets().empty()) {
        return readiness::no_targets;
    }
    return keys_are_fresh(core, now) ? readiness::ready : readiness::stale_configuration;
}

std::string_view to_string(readiness value)
{
    switch (value) {
    case readiness::ready:
        return "ready";
    case readiness::leaving:
        return "leaving";
    case readiness::no_configuration:
        return "no_configuration";
    case readiness::no_targets:
        return "no_targets";
    case readiness::stale_configuration:
        return "stale_configuration";
    }
    return "unknown";
}

void apply_target_notice(front_core& core, const fleet::target_notice& notice,
                         std::string_view source, bool forward, base::time_point now)
{
    if (!core.pool.on_notice(notice, forward, now)) {
        return;
    }
    const auto* target = core.pool.find(notice.target);
    write_log(core, log_event(core, "target_leaving")
                        .add("target", target->entry.name.text())
                        .add("told_by", source));
}

void log_limit_change(front_core& core, const fleet::tracked_target& target,
                      std::string_view request, std::string_view source, base::time_point now)
{
    const auto limit = fleet::limit_at(target.pushback.limit, now);
    auto line = log_event(core, limit ? "target_limit" : "target_limit_ended");
    line.add("target", target.entry.name.text());
    if (limit) {
        line.add("per_second", *limit);
    }
    if (!request.empty()) {
        line.add("request", request);
    }
    write_log(core, line.add("told_by", source));
    core.counters.add("target_limit_changes_total");
}

void apply_limit_report(front_core& core, const fleet::limit_report& report,
                        std::string_view source, bool is_relayed, base::time_point now)
{
    if (core.pool.on_limit_report(report, is_relayed, now)) {
        log_limit_change(core, *core.pool.find(report.target), {}, source, now);
    }
}

void apply_crash_reports(front_core& core, const fleet::crash_reports& reports, bool is_relayed,
                         base::milliseconds delay, base::time_point now)
{
    if (!reports.empty()) {
        core.quarantine.apply(reports, is_relayed, delay, now);
        update_quarantine(core, now);
    }
}

void update_quarantine(front_core& core, base::time_point now)
{
    for (const auto& change : core.quarantine.update(now)) {
        const bool is_begin = fleet::is_begin(change.cause);
        const bool is_request = change.subject.kind == fleet::crash_subject_kind::whole_request;
        const std::string_view what = is_request ? "request" : "prompt_part";
        auto line =
            log_event(core, fmt::format("{}_{}", what, is_begin ? "quarantined" : "released"));
        line.add(is_request ? "fingerprint" : "part", fmt::format("{:016x}", change.subject.hash));
        line.add("cause", fleet::to_string(change.cause));
        if (is_begin) {
            line.add("crashes", std::uint64_t{change.crashes});
            core.counters.add(fmt::format("{}_quarantines_total", what));
        }
        write_log(core, line);
    }
}

bool run_guarded(front_core& core, std::string_view part, const std::function<void()>& work)
{
    try {
        work();
        return true;
    }
    catch (const std::exception& problem) {
        core.counters.add("unexpected_errors_total");
        write_log(
            core,
            log_event(core, "unexpected_error").add("part", part).add("what", problem.what()));
    }
    return false;
}

base::log_line log_event(const front_core& core, std::string_view event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    base::log_line line(event);
    line.add("time_ms", std::chrono::duration_cast<base::milliseconds>(now).count());
    line.add("vm", core.settings.self.name.text());
    return line;
}

void write_log(front_core& core, const base::log_line& line)
{
    core.log.add(line.text());
}

} // namespace chicorylink::front
