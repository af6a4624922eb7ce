#ifndef CHICORYLINK_SCHEDULING_BEGIN_METER_HPP
#define CHICORYLINK_SCHEDULING_BEGIN_METER_HPP

#include "chicorylink/base/units.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace chicorylink::scheduling {

/// @brief Measures how many requests a second begin, as an average over the last seconds.
class begin_meter {
public:
    static constexpr base::milliseconds slot_length{250};
    static constexpr std::size_t slot_count = 16;

    /// Fewer begins in the time of all slots tell no rate.
    static constexpr std::uint32_t min_begins = 4;

    /// Shortest time that is averaged over, after the first begin.
    static constexpr base::milliseconds min_time{1000};

    void note(base::time_point now);

    /// @return None if too few have begun, or if the first one began too recently.
    [[nodiscard]] std::optional<double> per_second(base::time_point now) const;

private:
    struct slot {
        std::int64_t number = -1;
        std::uint32_t begins = 0;
    };
    std::array<slot, slot_count> m_slots{};
    std::optional<base::time_point> m_first;
};

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_BEGIN_METER_HPP
