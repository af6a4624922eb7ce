#ifndef CHICORYLINK_FRONT_REQUEST_BYTES_HPP
#define CHICORYLINK_FRONT_REQUEST_BYTES_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/software_version.hpp"
#include "chicorylink/front/header_names.hpp"
#include "chicorylink/front/incoming_request.hpp"
#include "chicorylink/front/resolution.hpp"

#include <optional>
#include <string>

namespace chicorylink::front {

/// @brief The values that differ between attempts of one request.
struct attempt_details {
    base::milliseconds time_left{0};
    /// Id of the last stream event sent to the caller; if empty, the caller's own field is kept.
    std::string last_event_id;
    /// Address of the target from whose cache parts of the prompt are fetched; may be empty.
    std::string prefix_holder_address;
    /// The software version at which a stream must go on.
    std::optional<fleet::version_hash> stream_version = {};
};

/// @brief Serializes a request for a target: without the key, with team, deadline and expected
/// target.
[[nodiscard]] std::string serialize_for_target(const incoming_request& request,
                                               const resolved_request& resolved,
                                               const std::string& target_name,
                                               const attempt_details& details,
                                               const header_names& names);

/// @brief Serializes a request for another VM: as received, plus the time left and the
/// configuration version.
[[nodiscard]] std::string serialize_for_peer(const incoming_request& request,
                                             const resolved_request& resolved,
                                             const attempt_details& details,
                                             const header_names& names);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_BYTES_HPP
