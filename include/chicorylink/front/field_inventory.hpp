#ifndef CHICORYLINK_FRONT_FIELD_INVENTORY_HPP
#define CHICORYLINK_FRONT_FIELD_INVENTORY_HPP

#include "chicorylink/front/header_names.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace chicorylink::front {

/// @brief Finds header fields of targets that this program knows nothing of. What a target asks for
/// in such a field goes unheeded, and only its name in the log can tell.
class field_inventory {
public:
    explicit field_inventory(const header_names& names);

    /// @brief Whether a field is unknown and was not seen before. A limited number is remembered.
    [[nodiscard]] bool is_new(std::string_view name);

private:
    /// Known names and those seen.
    std::set<std::string, boost::beast::iless> m_names;
    std::size_t m_seen = 0;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FIELD_INVENTORY_HPP
