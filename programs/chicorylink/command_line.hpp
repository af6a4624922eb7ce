#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_COMMAND_LINE_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_COMMAND_LINE_HPP

#include "programs/chicorylink/exit_code.hpp"

#include <iosfwd>

namespace chicorylink::cli {

/// @brief Parses the command line and runs the given command.
[[nodiscard]] exit_code run_command_line(int argc, const char* const* argv, std::ostream& out,
                                         std::ostream& err);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_COMMAND_LINE_HPP
