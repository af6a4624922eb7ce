#ifndef CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP
#define CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP

#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/store_revision.hpp"
#include "chicorylink/fleet/target_entry.hpp"

#include <memory>
#include <string>
#include <variant>

namespace chicorylink::fleet {

/// @brief One item of the store as it was last written, or its removal.
struct published_item {
    std::string key;
    std::string value;
    /// Store revision of its last change.
    store_revision revision;
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

/// @brief A target whose item was removed or can't be read; it must not be used.
struct target_gone_item {
    target_name name;
    /// The reason, if the item exists but can't be read.
    std::string problem;
};

/// @brief An order to send nothing to a data center's targets, or the end of such an order.
struct evacuation_item {
    data_center_name data_center;
    bool active = true;
};

/// @brief An item of unknown kind, or one that can't be read.
struct ignored_item {
    std::string problem;
};

using decoded_item =
    std::variant<configuration_item, target_item, target_gone_item, evacuation_item, ignored_item>;

/// @brief Decodes an item. Must not throw and must give the same result on all VMs.
using item_decoder = decoded_item (*)(const published_item&);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PUBLISHED_ITEM_HPP
