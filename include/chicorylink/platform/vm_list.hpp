#ifndef CHICORYLINK_PLATFORM_VM_LIST_HPP
#define CHICORYLINK_PLATFORM_VM_LIST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/membership/platform_list.hpp"

#include <string_view>

namespace chicorylink::platform {

/// @brief Reads the answer of `GET /v1/vms`.
/// @return An `invalid_message` error when the text is not such an answer.
[[nodiscard]] base::result<membership::platform_list> parse_vm_list(std::string_view text);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_VM_LIST_HPP
