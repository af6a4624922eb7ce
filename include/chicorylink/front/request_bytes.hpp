#ifndef CHICORYLINK_FRONT_REQUEST_BYTES_HPP
#define CHICORYLINK_FRONT_REQUEST_BYTES_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/asked_request.hpp"
#include "chicorylink/front/resolution.hpp"
#include "chicorylink/front/wire_names.hpp"

#include <string>

namespace chicorylink::front {

/// @brief What changes from one send of a request to the next.
struct send_details {
    base::milliseconds time_left{0};
    /// The newest event that the caller has; empty when the caller's own field holds.
    std::string last_event_id;
};

/// @brief The request as a target gets it: without key, with team, deadline and expected target.
[[nodiscard]] std::string bytes_for_target(const asked_request& asked,
                                           const resolved_request& resolved,
                                           const std::string& target_name,
                                           const send_details& details, const wire_names& names);

/// @brief The request as another VM gets it: as it came, with the time left and the version.
[[nodiscard]] std::string bytes_for_peer(const asked_request& asked,
                                         const resolved_request& resolved,
                                         const send_details& details, const wire_names& names);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_BYTES_HPP
