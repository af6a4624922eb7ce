#ifndef CHICORYLINK_PLATFORM_TARGET_LIST_HPP
#define CHICORYLINK_PLATFORM_TARGET_LIST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/membership/target_table.hpp"

#include <string_view>

namespace chicorylink::platform {

/// @brief Parses the response to `GET /v1/targets`.
/// @return An `invalid_message` error when the text is not a valid target list.
[[nodiscard]] base::result<membership::target_list> parse_target_list(std::string_view text);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_TARGET_LIST_HPP
