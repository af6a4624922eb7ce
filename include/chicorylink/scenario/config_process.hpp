#ifndef CHICORYLINK_SCENARIO_CONFIG_PROCESS_HPP
#define CHICORYLINK_SCENARIO_CONFIG_PROCESS_HPP

#include "chicorylink/config/store.hpp"
#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/scenario/world.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::scenario {

/// @brief Configuration state of one simulated process.
struct config_process {
    struct open_watch {
        base::config_version after;
        base::time_point until;
    };

    std::optional<config::store> store;
    /// The membership view at the last tick.
    membership::view snapshot;
    std::optional<open_watch> watch;
    std::vector<base::digest> fetches;
    base::config_version highest;
    /// Time at which the current version came into force.
    base::time_point in_force_at{};
    std::uint64_t audit_entries = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
};

/// @brief A fake of the configuration service.
struct config_service {
    struct published {
        std::string manifest;
        std::map<base::digest, std::string> parts;
    };

    std::map<base::config_version, published> versions;
    /// The version that the service returns; zero for the newest.
    base::config_version served;
    bool corrupt = false;
    std::uint64_t calls = 0;
};

/// @brief Adds membership and a configuration store to every VM made from now on.
void add_config(world& sim);

[[nodiscard]] config::store& config_of(world& sim, const std::string& vm_name);

/// @brief Publishes rules at the service.
/// @return The bytes of the manifest and of the parts that no earlier version had.
std::uint64_t publish(world& sim, base::config_version version, const std::string& rules);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_CONFIG_PROCESS_HPP
