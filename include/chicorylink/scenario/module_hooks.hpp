#ifndef CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP
#define CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP

#include <functional>
#include <string>

namespace chicorylink::scenario {

class world;
struct vm;
struct envelope;

/// @brief Callbacks of a module in each simulated VM. Every hook may be empty.
struct module_hooks {
    /// Module name: the part before the dot in the kinds of its messages.
    std::string module;
    /// A process starts, for the first time or after a restart.
    std::function<void(world&, vm&)> start;
    /// The clock advanced; called for each process that runs and isn't paused.
    std::function<void(world&, vm&)> tick;
    /// A message of this module arrived.
    std::function<void(world&, vm&, const envelope&)> receive;
    /// No process listened at the address of a message of this module.
    std::function<void(world&, vm&, const envelope&)> refused;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP
