#ifndef CHICORYLINK_FLEET_TARGET_POOL_HPP
#define CHICORYLINK_FLEET_TARGET_POOL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/speed_change.hpp"
#include "chicorylink/fleet/target_notice.hpp"
#include "chicorylink/fleet/target_pace.hpp"
#include "chicorylink/fleet/tracked_target.hpp"
#include "chicorylink/fleet/window_event.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {

/// @brief What a target's statement about its rate means for this VM.
struct limit_update {
    /// Whether it changes the rate that the target is known to take.
    bool is_new = false;
    /// To be sent to the region's delegates now; none if they heard of it a short time ago.
    std::optional<limit_report> report;
};

/// @brief The targets of this VM's region and their load.
class target_pool {
public:
    /// @brief Updates the targets from the published state; known state of remaining ones is kept.
    /// @param region_of The region of each data center.
    void sync(const published_state& state, const region_name& region,
              const std::map<data_center_name, region_name>& region_of, base::time_point now);

    [[nodiscard]] const std::map<target_name, tracked_target>& targets() const { return m_targets; }
    [[nodiscard]] const tracked_target* find(const target_name& name) const;

    [[nodiscard]] const tracked_target* find(base::target_id id) const;

    /// @brief The coordinator reserved a place at a target.
    /// @param request_prompt The request's prompt; null for a plain service.
    /// @param unread Prompt tokens that the target is assumed to have to read.
    /// @param ready_at When it is expected to have read them.
    void on_reserved(const target_name& name, const prompt* request_prompt, std::uint32_t unread,
                     std::uint8_t urgency, base::time_point now, base::time_point ready_at);

    /// @brief Streams of one VM got tokens from a target.
    /// @param elapsed Time since the events before them, over all streams.
    void on_tokens(base::target_id id, std::uint32_t tokens, base::milliseconds elapsed,
                   base::time_point now);

    /// @brief One target fetches cached parts of a prompt from another.
    void on_transfer(const target_name& to, const target_name& from, base::time_point ends_at);

    /// @brief The response to a reserved request began.
    void on_reserved_begun(const target_name& name, base::time_point now);

    /// @brief The prompt of a reserved request no longer counts as unread.
    void on_reserved_read(const target_name& name, std::uint32_t unread, std::uint8_t urgency);

    /// @brief A reserved request ended before its target read the prompt.
    void on_reserved_canceled(const target_name& name, std::uint32_t unread, std::uint8_t urgency);

    /// @brief A reserved request is no longer at its target.
    void on_reserved_ended(const target_name& name);

    /// @brief Sets the earliest due time among the reserved requests that have not begun, by
    /// target.
    void set_first_due(const std::map<target_name, base::time_point>& due);

    /// @brief A request is sent to a target.
    /// @param request_prompt The request's prompt; null for a plain service.
    /// @param unread Prompt tokens that the target is assumed to have to read.
    void on_sent(const target_name& name, const prompt* request_prompt, std::uint32_t unread,
                 base::time_point now);

    /// @brief The response to a request began, so the target has read its prompt.
    void on_begun(const target_name& name, std::uint32_t unread, base::time_point now);

    /// @brief A request is no longer at a target.
    /// @param unread Tokens that `on_begun` has not subtracted yet; zero after it.
    void on_ended(const target_name& name, std::uint32_t unread);

    /// @brief Updates the target's health and statistics with the outcome of an attempt.
    /// @return Whether the outcome ejected the target.
    bool on_outcome(const target_name& name, target_outcome outcome, base::milliseconds took,
                    base::time_point now);

    /// @brief Bytes arrived from a target.
    void on_bytes_received(const target_name& name, base::time_point now);

    /// @brief Ejects a target that let a request wait and sent nothing to any VM.
    /// @return Whether the target was not ejected before.
    bool on_unresponsive(const target_name& name, base::time_point now);

    void on_load(const target_name& name, std::uint32_t running, std::uint32_t waiting,
                 base::time_point now);

    /// @brief Records what a target stated about its times to this VM or to another one.
    /// @return Whether it is newer than what was known, and valid.
    bool on_time_stated(const target_pace& statement, base::time_point now);

    /// @brief Learns from the time that a reserved request took to begin.
    /// @param ratio Of the measured time to the expected one; see `scheduling::start_ratio`.
    std::vector<speed_change> on_start_measured(const target_name& name, double ratio,
                                                base::time_point now);

    /// @brief The ratio of measured to expected times to the first event that is usual for a
    /// service; 1 while it is unknown.
    [[nodiscard]] double usual_start_ratio(const service_name& service) const;

    /// @brief A reserved request's response began in time.
    void on_reserved_in_time(const target_name& name, base::time_point now);

    /// @brief A reserved request failed, or its response is late.
    void on_reserved_late(const target_name& name, base::time_point sent_at, base::time_point now);

    /// @brief Begins the start windows of targets that have become warm, and ends those whose time
    /// is up.
    void update_windows(base::time_point now);

    /// @brief Changes of start windows since the last call.
    [[nodiscard]] std::vector<window_event> take_window_events();

    /// @brief A response stated that its target is leaving. Returns whether that was unknown.
    bool on_leaving(const target_name& name, base::time_point now);

    /// @brief A response asked this VM to send nothing for some time.
    /// @param seed Value of this VM for the jitter, so that VMs return at different times.
    void on_wait_requested(const target_name& name, base::milliseconds wait, std::uint64_t seed,
                           base::time_point now);

    /// @brief Records what a response stated about the rate that its target takes.
    limit_update on_limit_stated(const target_name& name, const limit_statement& statement,
                                 base::time_point now);

    /// @brief Records what a target stated to another VM.
    /// @param is_relayed Whether the report comes from a digest and not from that VM itself.
    /// @return Whether this changes the rate that the target is known to take.
    bool on_limit_report(const limit_report& report, bool is_relayed, base::time_point now);

    /// @brief What the targets stated recently to this VM and to those that reported to it.
    [[nodiscard]] std::vector<limit_report> limit_reports(base::time_point now) const;

    /// @brief Records what a target asked of another VM.
    /// @param pass_on Whether this VM passes the notice on to the region.
    /// @return Whether it was unknown that the target is leaving.
    bool on_notice(const target_notice& notice, bool pass_on, base::time_point now);

    /// @brief The notices about targets to be sent to the VMs of the region.
    [[nodiscard]] std::vector<target_notice> notices(base::time_point now) const;

    /// @brief Time until this VM may send to the first target of a service again, when all usable
    /// targets asked it to wait or limit their rate; none when one of them does neither.
    [[nodiscard]] std::optional<base::milliseconds> shortest_wait(const service_name& service,
                                                                  base::time_point now) const;

    /// @brief Requests per second that the targets of a service take from all VMs together, of
    /// those that limit their rate and don't ask this VM to wait; zero if there is none.
    [[nodiscard]] double limited_rate(const service_name& service, base::time_point now) const;

    /// @brief Another target answered at the address of this one.
    void on_displaced(const target_name& name);

    /// @brief Records the load that another VM of the region has at the targets.
    void on_peer_use(const std::string& ip, const std::vector<target_use>& use,
                     base::time_point now);

    /// @brief Records the load of all VMs of the region, including this one, at the targets.
    void on_region_use(const std::vector<target_use>& use, base::time_point now);

    /// @brief The load of all VMs of the region at its targets, for the region's digest.
    [[nodiscard]] std::vector<target_use> region_use(base::time_point now) const;

    /// @brief The load of this VM at the targets, for the heartbeats; idle targets are left out.
    [[nodiscard]] std::vector<target_use> own_use(base::time_point now) const;

    /// @brief Records that this VM is sending its load at the targets to the delegates.
    void note_reported(base::time_point now);

private:
    [[nodiscard]] tracked_target* find_mutable(const target_name& name);
    void update_entry(tracked_target& target, const target_entry& entry, bool is_new,
                      base::time_point now);
    void readmit_target(tracked_target& target, base::time_point now);
    void update_load(tracked_target& target, const target_use& report, base::time_point now);
    void begin_window(tracked_target& target, std::string_view cause, base::time_point now);
    void add_window_event(const tracked_target& target, window_event::kind change,
                          std::string_view cause, base::time_point now);
    void note_window_change(const tracked_target& target, scheduling::window_change change,
                            base::time_point now);
    void keep_pushbacks(const std::map<target_name, tracked_target>& next, base::time_point now);

    std::map<target_name, tracked_target> m_targets;
    std::map<base::target_id, target_name> m_names;
    /// When this VM first knew any target of its region.
    std::optional<base::time_point> m_first_targets_at;
    std::map<service_name, double> m_usual_start_ratios;
    std::vector<window_event> m_window_events;
    /// Pushback of runs whose entries are gone at present; they may come back.
    std::map<base::target_id, target_pushback> m_departed_pushbacks;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_POOL_HPP
