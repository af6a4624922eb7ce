#ifndef CHICORYLINK_FRONT_FORWARD_FIELDS_HPP
#define CHICORYLINK_FRONT_FORWARD_FIELDS_HPP

#include <string_view>

namespace chicorylink::front {

/// The version of the configuration under which a VM forwards a request; says that it must not be
/// forwarded again.
inline constexpr std::string_view forwarded_field = "Chicorylink-Forwarded-Under";

/// What became of a request that a VM refuses or fails itself: `not_run` or `unknown`.
inline constexpr std::string_view outcome_field = "Chicorylink-Outcome";
inline constexpr std::string_view outcome_not_run = "not_run";
inline constexpr std::string_view outcome_unknown = "unknown";

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FORWARD_FIELDS_HPP
