#ifndef CHICORYLINK_SCENARIO_VM_HPP
#define CHICORYLINK_SCENARIO_VM_HPP

#include "chicorylink/base/ids.hpp"

#include <any>
#include <string>
#include <typeindex>
#include <unordered_map>

namespace chicorylink::scenario {

/// @brief One simulated VM and the modules' state in its current process.
struct vm {
    base::vm_id id;
    std::string name;
    std::string region;
    std::string data_center;
    /// `IP:port` of the peer links; the name unless the script gives another.
    std::string address;
    base::incarnation process;
    /// False after `stop`: connections to it are refused.
    bool running = false;
    /// A paused process does nothing and gets its messages after it resumes.
    bool paused = false;

    /// @brief State of a module in this process; created on first use, lost at restart.
    template <class T>
    [[nodiscard]] T& state()
    {
        auto& slot = m_states[std::type_index(typeid(T))];
        if (!slot.has_value()) {
            slot.emplace<T>();
        }
        return *std::any_cast<T>(&slot);
    }

    /// @brief Discards all state of the process.
    void clear_state() { m_states.clear(); }

private:
    std::unordered_map<std::type_index, std::any> m_states;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_VM_HPP
