#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_EXIT_CODE_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_EXIT_CODE_HPP

namespace chicorylink::cli {

/// @brief The exit codes of the command-line tool.
enum class exit_code : int {
    success = 0,
    /// The rules have errors, or the daemon refused the call.
    refused = 1,
    usage = 2,
    daemon_unreachable = 3,
};

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_EXIT_CODE_HPP
