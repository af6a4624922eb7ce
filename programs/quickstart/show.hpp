#ifndef CHICORYLINK_PROGRAMS_QUICKSTART_SHOW_HPP
#define CHICORYLINK_PROGRAMS_QUICKSTART_SHOW_HPP

#include <string>

namespace chicorylink::quickstart {

/// @brief Starts stand-ins and four daemons in three regions and prints one line per guarantee.
/// @return Whether every check passed.
[[nodiscard]] bool show_all(const std::string& binaries);

} // namespace chicorylink::quickstart

#endif // CHICORYLINK_PROGRAMS_QUICKSTART_SHOW_HPP
