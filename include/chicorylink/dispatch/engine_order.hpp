#ifndef CHICORYLINK_DISPATCH_ENGINE_ORDER_HPP
#define CHICORYLINK_DISPATCH_ENGINE_ORDER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/dispatch/fencing_token.hpp"

#include <string>

namespace chicorylink::dispatch {

/// @brief An order to an engine, as a state to reach: repeating it changes nothing.
struct engine_order {
    base::target_id target;
    fencing_token token;
    /// The model, adapter, version or role that the order is about, such as `model:large`.
    std::string item;
    /// The state to reach, such as `loaded`.
    std::string state;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ENGINE_ORDER_HPP
