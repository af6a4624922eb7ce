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

/// @brief Membership state of one simulated process.
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
    /// An old list that a VM, data center or region sees in place of the current one.
    struct frozen_list {
        membership::platform_list list;
        base::time_point since;
        /// Whether the reported age grows with the clock.
        bool age_grows = true;
    };

    membership::platform_list present{.sequence = 1};
    std::map<std::string, frozen_list> frozen;
    std::vector<std::string> unreachable_from;
    std::uint64_t calls = 0;
};

/// @brief Gives every VM a membership table that polls the list and exchanges messages.
void add_membership(world& sim);

[[nodiscard]] membership::table& membership_of(world& sim, const std::string& vm_name);
[[nodiscard]] membership::view view_of(world& sim, const std::string& vm_name);

/// @brief Starts the orderly leaving of a VM.
void leave_fleet(world& sim, const std::string& vm_name);

/// @brief Whether a VM reaches the platform's services.
[[nodiscard]] bool reaches_platform(world& sim, const vm& machine);

/// @brief Edits the list; each edit increments its sequence number.
void list_vm(world& sim, const std::string& vm_name);
void unlist_vm(world& sim, const std::string& vm_name);
void list_vm_leaving(world& sim, const std::string& vm_name);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_MEMBERSHIP_PROCESS_HPP
