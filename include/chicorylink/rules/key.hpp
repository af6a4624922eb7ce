#ifndef CHICORYLINK_RULES_KEY_HPP
#define CHICORYLINK_RULES_KEY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/origin.hpp"

namespace chicorylink::rules {

/// @brief A caller's key, stored only as its salted digest.
struct key {
    base::digest digest{};
    base::team_id team;
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_KEY_HPP
