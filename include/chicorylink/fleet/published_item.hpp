#ifndef CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP
#define CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP

#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/target_entry.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace chicorylink::fleet {

/// @brief One item of the store as it was last written, or the note that it was removed.
struct published_item {
    std::string key;
    std::string value;
    /// The store's revision of its last change.
    std::uint64_t revision = 0;
    bool removed = false;
};

/// @brief An item that holds a version of the configuration.
struct configuration_item {
    std::shared_ptr<const configuration> value;
};

/// @brief An item that describes a target.
struct target_item {
    target_entry entry;
};

/// @brief A target's item is gone, or can't be read: the target must not be used.
struct target_gone_item {
    target_name name;
    /// Why, when the item is there but can't be read.
    std::string problem;
};

/// @brief An order that a data center's targets get nothing, or its end.
struct evacuation_item {
    data_center_name data_center;
    bool active = true;
};

/// @brief An item of no known meaning, or one that can't be read.
struct ignored_item {
    std::string problem;
};

using item_meaning =
    std::variant<configuration_item, target_item, target_gone_item, evacuation_item, ignored_item>;

/// @brief Reads an item. Must not throw and must give the same meaning on all VMs.
using item_decoder = item_meaning (*)(const published_item&);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP
