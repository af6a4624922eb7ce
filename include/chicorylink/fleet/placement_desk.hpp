#ifndef CHICORYLINK_FLEET_PLACEMENT_DESK_HPP
#define CHICORYLINK_FLEET_PLACEMENT_DESK_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement_message.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace chicorylink::fleet {

/// @brief Places the requests of all VMs of one region, so that no two of them take the same idle
/// target, and a session is read where any of them had it read before.
///
/// One VM of a region is its desk: the first of its delegates. It only advises: a VM that gets no
/// answer in time chooses by itself, from heartbeats that are some hundred milliseconds old.
class placement_desk {
public:
    /// @brief Chooses a target and reserves the place there, if the request would begin in time.
    /// @param asker The VM that asks, by its address, and its run.
    [[nodiscard]] placement_answer place(target_pool& pool, const std::string& asker,
                                         base::incarnation run, const placement_ask& ask,
                                         base::time_point now);

    /// @brief A reserved place was begun or given back. Notes may come twice.
    void take_note(target_pool& pool, const std::string& asker, const placement_note& note,
                   base::time_point now);

    /// @brief Gives back all places of a VM that is gone.
    void forget(target_pool& pool, const std::string& asker);

    /// @brief Gives back places whose notes were lost, and notes which targets are late.
    void tick(target_pool& pool, base::time_point now);

    /// @brief Whether this VM was asked so recently that it knows what its region sends where.
    [[nodiscard]] bool is_in_use(base::time_point now) const;

    [[nodiscard]] std::size_t reservations() const { return m_reservations.size(); }

private:
    struct reservation {
        target_name target;
        std::uint32_t unread_tokens = 0;
        /// Whether the request has begun, or its note was lost.
        bool is_read = false;
        std::uint8_t urgency = 0;
        base::time_point made_at{};
        /// When its prompt should be read.
        base::time_point due_at{};
    };
    using reservation_map = std::map<std::pair<std::string, std::uint64_t>, reservation>;

    static void note_read(target_pool& pool, reservation& place);
    static void give_back(target_pool& pool, reservation& place);

    reservation_map m_reservations;
    std::map<std::string, base::incarnation> m_runs;
    base::time_point m_asked_at{};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_DESK_HPP
