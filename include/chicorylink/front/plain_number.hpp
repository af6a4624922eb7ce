#ifndef CHICORYLINK_FRONT_PLAIN_NUMBER_HPP
#define CHICORYLINK_FRONT_PLAIN_NUMBER_HPP

#include <optional>
#include <string_view>

namespace chicorylink::front {

/// Larger numbers are clamped to this; far above any delay in seconds or rate per second.
inline constexpr double max_plain_number = 1e9;

/// @brief Parses a header value such as `2` or `0.25`, with spaces around it.
/// @return None for signs, exponents and anything else that is not a plain decimal number.
[[nodiscard]] std::optional<double> parse_plain_number(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_PLAIN_NUMBER_HPP
