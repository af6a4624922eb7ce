#ifndef CHICORYLINK_PLATFORM_VM_LIST_HPP
#define CHICORYLINK_PLATFORM_VM_LIST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::platform {

/// @brief The platform's list of the system's VMs, as old as `age` when it was answered.
struct vm_list {
    std::uint64_t sequence = 0;
    base::milliseconds age{0};
    /// States are `live` or `leaving`; incarnations are unknown to the platform.
    std::vector<membership::member> vms;
};

/// @brief Reads the answer of `GET /v1/vms`.
/// @return An `invalid_message` error when the text is not such an answer.
[[nodiscard]] base::result<vm_list> parse_vm_list(std::string_view text);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_VM_LIST_HPP
