#ifndef CHICORYLINK_FRONT_RETRY_AFTER_HPP
#define CHICORYLINK_FRONT_RETRY_AFTER_HPP

#include "chicorylink/base/units.hpp"

#include <optional>
#include <string_view>

namespace chicorylink::front {

/// The field of a refusal that tells when to come back.
inline constexpr std::string_view retry_after_field = "Retry-After";

/// @brief Reads seconds with an optional fraction, such as `2` or `0.25`.
/// @return None for dates, signs, exponents and whatever else is no plain number. A number that is
/// too large to be a time becomes the largest one.
[[nodiscard]] std::optional<base::milliseconds> parse_retry_after(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_RETRY_AFTER_HPP
