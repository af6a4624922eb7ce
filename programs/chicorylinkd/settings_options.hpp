#ifndef CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP

#include "chicorylink/gateway/settings.hpp"

#include <CLI/CLI.hpp>

namespace chicorylink::programs {

/// @brief What the command line asks for besides the settings.
struct command_line {
    gateway::settings settings;
    /// Only check the settings and say what is wrong.
    bool check_only = false;
};

/// @brief Declares all flags, each with its environment variable, in groups.
void add_options(CLI::App& app, command_line& line);

} // namespace chicorylink::programs

#endif // CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP
