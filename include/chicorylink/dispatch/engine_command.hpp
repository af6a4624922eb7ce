#ifndef CHICORYLINK_DISPATCH_ENGINE_COMMAND_HPP
#define CHICORYLINK_DISPATCH_ENGINE_COMMAND_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/dispatch/fencing_token.hpp"

#include <string>

namespace chicorylink::dispatch {

/// @brief An idempotent command to an engine, given as the state to reach.
struct engine_command {
    base::target_id target;
    fencing_token token;
    /// The model, adapter, version or role that the command applies to, such as `model:large`.
    std::string item;
    /// The state to reach, such as `loaded`.
    std::string state;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ENGINE_COMMAND_HPP
