#ifndef CHICORYLINK_FRONT_FORWARD_FIELDS_HPP
#define CHICORYLINK_FRONT_FORWARD_FIELDS_HPP

#include <string_view>

namespace chicorylink::front {

/// The configuration version that the forwarding VM applied. Its presence means that the request
/// must not be forwarded again.
inline constexpr std::string_view forwarded_field = "Chicorylink-Forwarded-Under";

/// Whether a request that a VM itself refused or failed may have run: `not_run` or `unknown`.
inline constexpr std::string_view outcome_field = "Chicorylink-Outcome";
inline constexpr std::string_view outcome_not_run = "not_run";
inline constexpr std::string_view outcome_unknown = "unknown";

/// Hash of the software version at which a stream must go on, in a forwarded request; of the target
/// that answers, in a response to it.
inline constexpr std::string_view stream_version_field = "Chicorylink-Stream-Version";

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FORWARD_FIELDS_HPP
