#ifndef CHICORYLINK_FRONT_ITEM_COPY_HPP
#define CHICORYLINK_FRONT_ITEM_COPY_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"
#include "chicorylink/fleet/store_revision.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {
class published_state;
struct applied_change;
} // namespace chicorylink::fleet

namespace chicorylink::front {

/// @brief Which of a VM's items another VM lacks.
struct item_copy_query {
    /// Items that changed after this revision; all items if its number is zero.
    fleet::store_revision after;
    /// The configuration if its version is newer than this one.
    base::config_version version;
};

/// @brief What to ask a VM for.
/// @param newest Revision of the newest item that the other VM announces.
/// @param known The revision up to which this VM has every change.
/// @param version The version of the configuration that this VM knows.
/// @return All items if the other VM has read a newer era of the store: it may never have known
/// what the era before has lost, and then lists no removal of it.
[[nodiscard]] item_copy_query items_to_copy(fleet::store_revision newest,
                                            fleet::store_revision known,
                                            base::config_version version);

/// @brief The request target at which a VM serves its copy of the published items to VMs that
/// don't read the store.
[[nodiscard]] std::string item_copy_target(const item_copy_query& query);

/// @brief Parses such a request target.
/// @return None for any other target.
[[nodiscard]] std::optional<item_copy_query> read_item_copy_target(std::string_view target);

/// @brief One VM's copy of the published items.
struct item_copy {
    std::vector<fleet::published_item> items;
    /// The revision after which these items changed; its number is zero when these are all items.
    fleet::store_revision after;
    /// The store's revision that this copy reflects.
    fleet::store_revision as_of;
    /// How long ago the configuration was confirmed as the newest one; none if it never was.
    std::optional<base::milliseconds> confirmed_age;
    /// Since how long the VM knows the store to answer without an outage; none if unknown.
    std::optional<base::milliseconds> contact_age;
};

/// @brief The answer to another VM's query.
/// @return All items if this VM may not know a removal since the revision that the query names.
[[nodiscard]] item_copy make_item_copy(const fleet::published_state& state,
                                       const item_copy_query& query, base::time_point now);

/// @brief Applies a copy from another VM, if its configuration was ever confirmed.
/// @param asked_at When the other VM was asked for it.
/// @param is_local Whether the other VM is in the same region.
/// @return What has changed.
std::vector<fleet::applied_change> apply_item_copy(fleet::published_state& state,
                                                   const item_copy& copy, base::time_point asked_at,
                                                   bool is_local, base::time_point now);

/// @brief Encodes a copy as MessagePack, since values may hold any bytes.
[[nodiscard]] std::string encode(const item_copy& copy);

/// @brief Decodes a copy.
/// @param known_era Era of the revisions of a VM that states none.
/// @return An `invalid_message` error when the bytes are not a copy.
[[nodiscard]] base::result<item_copy> decode_item_copy(std::string_view bytes,
                                                       fleet::store_era known_era);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ITEM_COPY_HPP
