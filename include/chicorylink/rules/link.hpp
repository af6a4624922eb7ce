#ifndef CHICORYLINK_RULES_LINK_HPP
#define CHICORYLINK_RULES_LINK_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/origin.hpp"

namespace chicorylink::rules {

/// @brief The wide-area link between two regions; the same in both directions.
struct link {
    base::region_id a;
    base::region_id b;
    /// One-way delay.
    base::milliseconds delay{55};
    base::bytes_per_second rate{250'000'000};
    /// The cost of sending a megabyte, expressed as milliseconds of delay.
    base::milliseconds price_per_megabyte{0};
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_LINK_HPP
