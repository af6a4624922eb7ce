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

/// @brief Where a VM serves its copy of the published items to VMs that don't read the store.
/// @param after Only items that changed after this revision are asked for.
[[nodiscard]] std::string item_copy_target(std::uint64_t after);

/// @brief Reads such a request target; none when it asks for something else.
[[nodiscard]] std::optional<std::uint64_t> read_item_copy_target(std::string_view target);

/// @brief Published items as one VM knows them.
struct item_copy {
    std::vector<fleet::published_item> items;
    /// Zero when these are all items, else the revision after which they changed.
    std::uint64_t after = 0;
    std::uint64_t as_of = 0;
    /// How long ago the configuration among them was proved to be the newest one.
    std::optional<base::milliseconds> confirmed_age;
};

/// @brief A copy as MessagePack; values may hold any bytes.
[[nodiscard]] std::string encode(const item_copy& copy);

/// @brief Reads a copy; `invalid_message` when the bytes hold anything else.
[[nodiscard]] base::result<item_copy> decode_item_copy(std::string_view bytes);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ITEM_COPY_HPP
