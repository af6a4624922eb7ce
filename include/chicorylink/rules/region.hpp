#ifndef CHICORYLINK_RULES_REGION_HPP
#define CHICORYLINK_RULES_REGION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/origin.hpp"

#include <string>

namespace chicorylink::rules {

/// @brief A region; requests move between regions only where their team's rules allow it.
struct region {
    base::region_id id;
    std::string name;
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_REGION_HPP
