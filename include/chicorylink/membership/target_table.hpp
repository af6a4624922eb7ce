#ifndef CHICORYLINK_MEMBERSHIP_TARGET_TABLE_HPP
#define CHICORYLINK_MEMBERSHIP_TARGET_TABLE_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/target_report.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicorylink::membership {

/// @brief One target of the platform's list.
struct listed_target {
    std::string name;
    bool leaving = false;
};

/// @brief A response of the platform's target list.
struct target_list {
    std::uint64_t sequence = 0;
    std::vector<listed_target> targets;
};

/// @brief What is known of a target.
struct target_status {
    base::target_id id;
    /// According to the list, its own report, or a report from another VM.
    bool leaving = false;
    /// Whether its last poll was answered.
    bool reachable = false;
    /// The newest report; empty when there is none yet.
    std::optional<target_report> report;
    /// How old that report is now.
    base::milliseconds report_age{0};
};

/// @brief Tracks the targets of this VM's region: which are leaving, and the load they report.
///
/// Each target is polled by one VM of its region, which shares the reports with the others. Not
/// thread-safe; its owner calls it under one lock.
class target_table {
public:
    explicit target_table(base::vm_id self, base::incarnation process);

    /// @brief Sets the targets that the rules name in this VM's region; removes all others.
    void set_targets(std::vector<base::target_id> targets);

    /// @brief The targets that this VM polls, by rendezvous hash among the region's live VMs.
    [[nodiscard]] std::vector<base::target_id> targets_to_poll(const view& snapshot) const;

    /// @brief Handles a response with the platform's target list.
    void on_list(const target_list& list);

    /// @brief Handles the outcome of a poll by this VM.
    /// @param report Its `reachable` is false when the poll failed.
    void on_poll(target_report report, base::time_point now);

    /// @brief Handles reports from another VM of the region.
    void receive(const target_reports& received, base::time_point now);

    /// @brief Returns the reports to send to the VMs of the region: immediately when a target is
    /// newly leaving or unreachable, otherwise once per `share_interval`.
    /// @param receivers The number of VMs that they will be sent to.
    /// @return Empty when there is nothing to send yet.
    [[nodiscard]] std::optional<target_reports> take_reports(std::size_t receivers,
                                                             base::time_point now);

    /// @brief What is known of a target; empty when the rules don't name it in this region.
    [[nodiscard]] std::optional<target_status> find(base::target_id target,
                                                    base::time_point now) const;
    [[nodiscard]] std::vector<target_status> all(base::time_point now) const;

    /// Interval between polls of a target.
    static constexpr base::milliseconds poll_interval{500};

private:
    struct record {
        bool listed_leaving = false;
        std::optional<target_report> report;
        /// Creation time of the report, by this process's clock.
        base::time_point reported_at{};
        bool polled_by_self = false;
    };

    [[nodiscard]] target_status describe(base::target_id id, const record& tracked,
                                         base::time_point now) const;
    void store(record& tracked, const target_report& report, base::time_point now);

    base::vm_id m_self;
    base::incarnation m_process;
    std::map<base::target_id, record> m_targets;
    std::uint64_t m_list_sequence = 0;
    std::uint64_t m_sequence = 0;
    bool m_urgent = false;
    base::time_point m_next_share{};
};

/// @brief Interval between messages that share reports: short in a small region; long enough in a
/// large one to keep one VM's sending within its part of the control traffic.
[[nodiscard]] base::milliseconds share_interval(std::size_t receivers, std::size_t reports);

/// @brief The VM of a region that polls a target; zero when the region has no live VM.
[[nodiscard]] base::vm_id poller_of(const view& snapshot, base::region_id region,
                                    base::target_id target);

/// @brief Encodes and decodes reports as FlatBuffers bytes; see `codec.hpp`.
[[nodiscard]] std::vector<std::uint8_t> encode(const target_reports& value);
[[nodiscard]] base::result<target_reports> decode_reports(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_TARGET_TABLE_HPP
