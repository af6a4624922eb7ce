#ifndef CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP
#define CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP

#include <functional>
#include <string>

namespace chicorylink::scenario {

class world;
struct vm;
struct envelope;

/// @brief What a module does in each simulated VM. Every hook may be empty.
struct module_hooks {
    /// The first part of the kinds of its messages.
    std::string module;
    /// A process starts, at first or after a restart.
    std::function<void(world&, vm&)> start;
    /// The clock moved; called for each process that runs and isn't paused.
    std::function<void(world&, vm&)> tick;
    /// A message of this module arrived.
    std::function<void(world&, vm&, const envelope&)> receive;
    /// A message of this module met no listener at its address.
    std::function<void(world&, vm&, const envelope&)> refused;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_MODULE_HOOKS_HPP
