#ifndef CHICORYLINK_RULES_PART_REFERENCE_HPP
#define CHICORYLINK_RULES_PART_REFERENCE_HPP

#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"

namespace chicorylink::rules {

/// @brief Identifies one part of a published rules text by the digest and size of its contents.
struct part_reference {
    base::digest digest{};
    base::bytes size;

    friend bool operator==(const part_reference&, const part_reference&) = default;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_PART_REFERENCE_HPP
