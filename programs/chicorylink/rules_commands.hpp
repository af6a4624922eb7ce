#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_RULES_COMMANDS_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_RULES_COMMANDS_HPP

#include "programs/chicorylink/exit_code.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::cli {

struct output;

/// @brief Reports every error in a rules file.
/// @param vm_addresses Addresses of VMs of the system, which no target may use.
[[nodiscard]] exit_code check_rules(const std::string& file,
                                    const std::vector<std::string>& vm_addresses, const output& to);

/// @brief Prints what a newer rules file changes, and who requested it.
[[nodiscard]] exit_code diff_rules_files(const std::string& older, const std::string& newer,
                                         const output& to);

/// @brief Prints where a team's requests on a route may run and why.
/// @return `refused` when no region may run them.
[[nodiscard]] exit_code explain_rules(const std::string& file, const std::string& team,
                                      const std::string& route, const output& to);

/// @brief Options for publishing a rules file.
struct split_request {
    std::string file;
    std::string folder;
    std::uint64_t version = 0;
    std::string salt;
};

/// @brief Checks a rules file and writes its manifest and parts to a folder.
[[nodiscard]] exit_code split_rules_file(const split_request& request, const output& to);

/// @brief Generates a caller's key and prints it with its digest.
/// @param team The team in the printed rule line; a placeholder when empty.
[[nodiscard]] exit_code make_key(const std::string& salt, const std::string& team,
                                 const output& to);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_RULES_COMMANDS_HPP
