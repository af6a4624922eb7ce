#ifndef CHICORYLINK_RULES_ORIGIN_HPP
#define CHICORYLINK_RULES_ORIGIN_HPP

#include <cstdint>
#include <string>

namespace chicorylink::rules {

/// @brief The line of a rule in the operators' file and who asked for it.
struct origin {
    std::uint32_t line = 0;
    std::string asked_by;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_ORIGIN_HPP
