#ifndef CHICORYLINK_SCHEDULING_RETURN_SLOTS_HPP
#define CHICORYLINK_SCHEDULING_RETURN_SLOTS_HPP

#include "chicorylink/base/units.hpp"

#include <array>
#include <cstdint>
#include <map>

namespace chicorylink::scheduling {

/// Callers wait for their return for this fraction of their remaining time at most.
inline constexpr double honoured_fraction = 1.0 / 3;

/// @brief A refused caller that asks when to return.
struct return_request {
    /// Requests of the service that begin in a second; greater than zero.
    double per_second = 0;
    /// Time until the queue is short enough for one more request.
    base::milliseconds earliest{0};
    /// Until the caller's deadline.
    base::milliseconds time_left{0};
    /// Urgency of the request, 0 the most urgent.
    std::uint8_t rank = 0;
    /// Whether the caller comes back at all; callers retry once.
    bool may_return = true;
};

/// @brief When a refused caller finds capacity.
struct return_time {
    base::milliseconds wait{0};
    /// Whether the capacity is kept; not if the caller will not be there in time.
    bool is_reserved = false;
    /// Reservations given to others that are not due yet.
    std::uint32_t reservations = 0;
};

/// @brief Reservations of one service for refused callers: how many return in which slot of time.
///
/// A reservation expires with its slot, whether its caller has returned or not.
class return_slots {
public:
    static constexpr base::milliseconds slot_length{100};

    /// How far ahead is reserved; a caller with the usual longest deadline of 15 s waits for 5 s.
    static constexpr std::int64_t slot_count = 100;

    static constexpr std::size_t rank_count = 16;

    /// @brief The first time at which capacity is left after the reservations given already, so
    /// that no later reservation loses its place.
    [[nodiscard]] return_time reserve(const return_request& request, base::time_point now);

    /// @brief Reservations of at least a rank's urgency that are due within a time.
    [[nodiscard]] std::uint32_t due_within(base::milliseconds time, std::uint8_t rank,
                                           base::time_point now) const;

private:
    using counts = std::array<std::uint32_t, rank_count>;
    void expire(base::time_point now);

    /// By the number of the slot since boot.
    std::map<std::int64_t, counts> m_slots;
};

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_RETURN_SLOTS_HPP
