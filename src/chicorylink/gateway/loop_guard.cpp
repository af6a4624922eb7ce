#include "chicorylink/gateway/loop_guard.hpp"

#include "chicorylink/gateway/services.hpp"
#include "chicorylink/membership/view.hpp"

#include <algorithm>

namespace chicorylink::gateway {

bool is_own_address(const services& deps, std::string_view address)
{
    const auto view = deps.view();
    if (!view) {
        return false;
    }
    return std::any_of(view->members.begin(), view->members.end(), [&](const auto& vm) {
        return vm.caller_address == address || vm.peer_address == address;
    });
}

} // namespace chicorylink::gateway
