#ifndef CHICORYLINK_FRONT_ITEM_COPY_HPP
#define CHICORYLINK_FRONT_ITEM_COPY_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

/// @brief The request target at which a VM serves its copy of the published items to VMs that
/// don't read the store.
/// @param after Only items that changed after this revision are requested.
[[nodiscard]] std::string item_copy_target(std::uint64_t after);

/// @brief Parses such a request target.
/// @return The revision; none for any other target.
[[nodiscard]] std::optional<std::uint64_t> read_item_copy_target(std::string_view target);

/// @brief One VM's copy of the published items.
struct item_copy {
    std::vector<fleet::published_item> items;
    /// Zero when these are all items, else the revision after which these items changed.
    std::uint64_t after = 0;
    /// The store's revision that this copy reflects.
    std::uint64_t as_of = 0;
    /// How long ago the configuration was confirmed as the newest one; none if it never was.
    std::optional<base::milliseconds> confirmed_age;
};

/// @brief Encodes a copy as MessagePack, since values may hold any bytes.
[[nodiscard]] std::string encode(const item_copy& copy);

/// @brief Decodes a copy.
/// @return An `invalid_message` error when the bytes are not a copy.
[[nodiscard]] base::result<item_copy> decode_item_copy(std::string_view bytes);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ITEM_COPY_HPP
