#ifndef CHICORYLINK_FLEET_PLACEMENT_COORDINATOR_HPP
#define CHICORYLINK_FLEET_PLACEMENT_COORDINATOR_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement_message.hpp"
#include "chicorylink/fleet/target_pacer.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

struct placement_choice;
struct placement_request;

/// @brief Chooses targets for the requests of all VMs of a region, so that no two VMs take the same
/// idle target and a session goes to a target that has read its parts for any VM.
///
/// The coordinator of a region is the first of its delegates. It only advises: a VM that gets no
/// answer in time chooses by itself, from heartbeats that are some hundred milliseconds old. To a
/// target that states a limit on its rate, a VM sends only what the coordinator counted, or its own
/// part of the rest.
class placement_coordinator {
public:
    /// @brief Chooses a target and reserves a place there if the request would begin in time.
    /// @param sender IP address of the VM that sent the query.
    /// @param run Run of that VM.
    [[nodiscard]] placement_answer place(target_pool& pool, const std::string& sender,
                                         base::incarnation run, const placement_query& query,
                                         base::time_point now);

    /// @brief Records that a reserved request began or ended. A note may arrive twice.
    void apply_note(target_pool& pool, const std::string& sender, const placement_note& note,
                    base::time_point now);

    /// @brief The same for a request of this VM, whose outcome the pool has already.
    void apply_own_note(target_pool& pool, const std::string& self, const placement_note& note,
                        base::time_point now);

    /// @brief Compares the time that a reserved request took to begin with the expected one. Comes
    /// before the note of the begin.
    /// @return Targets that have become noticeably slow, or are no longer.
    std::vector<speed_change> apply_start(target_pool& pool, const std::string& sender,
                                          const target_pace& start, base::time_point now);

    /// @brief Releases all places of a VM that is gone.
    void release_all(target_pool& pool, const std::string& sender);

    /// @brief Releases places whose notes were lost and updates the first due time of each target.
    void tick(target_pool& pool, base::time_point now);

    /// @brief Whether queries came so recently that this VM knows where its region's requests go.
    [[nodiscard]] bool is_active(base::time_point now) const;

    [[nodiscard]] std::size_t reservations() const { return m_reservations.size(); }

    /// @brief Placements for which a start window held a target back, and those that went beyond
    /// one as all targets were held back.
    [[nodiscard]] std::uint64_t held_back() const { return m_held_back; }
    [[nodiscard]] std::uint64_t beyond_windows() const { return m_beyond_windows; }

private:
    struct reservation {
        target_name target;
        std::uint32_t unread_tokens = 0;
        /// Whether the prompt counts as read: the request began, or its note was lost.
        bool tokens_released = false;
        std::uint8_t urgency = 0;
        base::time_point made_at{};
        /// When the response is expected to begin.
        base::time_point due_at{};
        /// The expected start, and what the target stated about its times.
        scheduling::measured_start expected;
        /// Whether the time of its start may be compared with the expected one.
        bool is_speed_sample = false;
        /// Whether it counted toward the window of a target that starts or returns.
        bool is_rated = false;
    };
    using reservation_map = std::map<std::pair<std::string, std::uint64_t>, reservation>;

    using target_check = std::function<bool(const tracked_target&)>;

    /// @brief Chooses a target, within the windows of those that start or return if possible.
    [[nodiscard]] std::optional<placement_choice> choose(const target_pool& pool,
                                                         placement_request request,
                                                         const target_check& may_use,
                                                         base::time_point now);
    /// @brief Milliseconds from the reservation to the begin of the response, as is usual for the
    /// service: if all of its targets take longer than expected, none of them is late.
    [[nodiscard]] static double due_ms(const target_pool& pool, const reservation& place);
    /// @brief Counts a response, or its absence, toward the window of its target.
    static void rate(target_pool& pool, reservation& place, bool is_good, base::time_point now);
    static void rate_end(target_pool& pool, reservation& place, const placement_note& note,
                         base::time_point now);
    static void release_unread_tokens(target_pool& pool, reservation& place);
    static void release(target_pool& pool, reservation& place);

    reservation_map m_reservations;
    std::map<std::string, base::incarnation> m_runs;
    base::time_point m_last_query_at{};
    std::uint64_t m_held_back = 0;
    std::uint64_t m_beyond_windows = 0;
    /// For the targets that state a limit on their rate.
    target_pacer m_pacer;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_COORDINATOR_HPP
