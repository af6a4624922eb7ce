#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_OUTPUT_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_OUTPUT_HPP

#include <iosfwd>

namespace chicorylink::cli {

/// @brief Output stream of a command and its format: text or JSON.
struct output {
    std::ostream& out;
    std::ostream& err;
    bool json = false;
};

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_OUTPUT_HPP
