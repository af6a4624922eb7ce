#ifndef CHICORYLINK_FLEET_SERVICE_RETURNS_HPP
#define CHICORYLINK_FLEET_SERVICE_RETURNS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/scheduling/begin_meter.hpp"
#include "chicorylink/scheduling/return_slots.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace chicorylink::fleet {

/// @brief Reservations of refused callers at one VM, per service of the configuration, paced by the
/// rate at which this VM's requests begin at the targets of its region.
class service_returns {
public:
    /// @brief Records that a request has begun at a target of this region.
    void note_begun(const service_name& service, base::time_point now);

    /// @brief The rate at which requests of the service begin; none if too few did lately.
    [[nodiscard]] std::optional<double> per_second(const service_name& service,
                                                   base::time_point now) const;

    /// @brief Reserves a time for a refused caller to return.
    /// @param request Its rate is filled in here.
    /// @return None if the rate is unknown.
    [[nodiscard]] std::optional<scheduling::return_time>
    reserve(const service_name& service, scheduling::return_request request, base::time_point now);

    /// @brief How much longer a new request waits because of the callers that return before it.
    /// @param longest_wait The longest wait that it accepts; later returns come behind it.
    [[nodiscard]] base::milliseconds reserved_wait(const service_name& service,
                                                   base::milliseconds longest_wait,
                                                   std::uint8_t urgency,
                                                   base::time_point now) const;

private:
    struct entry {
        scheduling::begin_meter begins;
        scheduling::return_slots slots;
    };
    std::unordered_map<service_name, entry> m_services;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SERVICE_RETURNS_HPP
