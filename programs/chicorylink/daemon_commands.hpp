#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_DAEMON_COMMANDS_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_DAEMON_COMMANDS_HPP

#include "programs/chicorylink/exit_code.hpp"

#include <string>

namespace chicorylink::cli {

struct output;

/// @brief One call to a daemon's operators' listener.
struct daemon_call {
    /// For example `http://10.0.0.5:9100`.
    std::string daemon;
    std::string method = "GET";
    /// For example `/v1/status`.
    std::string path;
};

/// @brief Makes a call and prints its response: rows as a table, any other object as lines.
[[nodiscard]] exit_code call_daemon(const daemon_call& call, const output& to);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_DAEMON_COMMANDS_HPP
