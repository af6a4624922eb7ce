#ifndef CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP

#include "chicorylink/gateway/settings.hpp"

#include <CLI/CLI.hpp>

namespace chicorylink::programs {

/// @brief The parsed command line: settings and options that are not settings.
struct command_line {
    gateway::settings settings;
    /// Only check the settings and report errors.
    bool check_only = false;
};

/// @brief Declares all flags, each with its environment variable, in groups.
void add_options(CLI::App& app, command_line& line);

} // namespace chicorylink::programs

#endif // CHICORYLINK_PROGRAMS_CHICORYLINKD_SETTINGS_OPTIONS_HPP
