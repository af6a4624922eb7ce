#ifndef CHICORYLINK_PLATFORM_VM_LIST_HPP
#define CHICORYLINK_PLATFORM_VM_LIST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/membership/platform_list.hpp"

#include <string_view>

namespace chicorylink::platform {

/// @brief Parses the response to `GET /v1/vms`.
/// @return An `invalid_message` error when the text is not a valid VM list.
[[nodiscard]] base::result<membership::platform_list> parse_vm_list(std::string_view text);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_VM_LIST_HPP
