#ifndef CHICORYLINK_SCENARIO_MEMBERSHIP_PROCESS_HPP
#define CHICORYLINK_SCENARIO_MEMBERSHIP_PROCESS_HPP

#include "chicorylink/membership/table.hpp"
#include "chicorylink/scenario/world.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::scenario {

/// @brief The membership of one simulated process.
struct membership_process {
    std::optional<membership::table> table;
    base::time_point next_poll{};
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t renewals = 0;
};

/// @brief A fake of the platform's VM list, which the script edits.
struct platform_lists {
    /// What a side of the fleet sees in place of the present list.
    struct frozen_list {
        membership::platform_list list;
        base::time_point since;
        /// Whether its age is told truly.
        bool honest = true;
    };

    membership::platform_list present{.sequence = 1};
    std::map<std::string, frozen_list> frozen;
    std::vector<std::string> unreachable_from;
    std::uint64_t calls = 0;
};

/// @brief Gives every VM a membership table that polls the list and exchanges messages.
void add_membership(world& scene);

[[nodiscard]] membership::table& membership_of(world& scene, const std::string& vm_name);
[[nodiscard]] membership::view view_of(world& scene, const std::string& vm_name);

/// @brief Tells a VM to leave.
void leave_fleet(world& scene, const std::string& vm_name);

/// @brief Whether a VM reaches the platform's services.
[[nodiscard]] bool reaches_platform(world& scene, const vm& which);

/// @brief Edits the list; each edit is a step of its sequence.
void list_vm(world& scene, const std::string& vm_name);
void unlist_vm(world& scene, const std::string& vm_name);
void list_vm_leaving(world& scene, const std::string& vm_name);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_MEMBERSHIP_PROCESS_HPP
