#ifndef CHICORYLINK_FRONT_RETRY_AFTER_HPP
#define CHICORYLINK_FRONT_RETRY_AFTER_HPP

#include "chicorylink/base/units.hpp"

#include <optional>
#include <string_view>

namespace chicorylink::front {

/// The header field of a refusal that says when to retry.
inline constexpr std::string_view retry_after_field = "Retry-After";

/// @brief Parses seconds with an optional fraction, such as `2` or `0.25`.
/// @return None for dates, signs, exponents and anything else that is not a plain number. Values
/// that are too large are clamped to the maximum.
[[nodiscard]] std::optional<base::milliseconds> parse_retry_after(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_RETRY_AFTER_HPP
