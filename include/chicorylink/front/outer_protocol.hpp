#ifndef CHICORYLINK_FRONT_OUTER_PROTOCOL_HPP
#define CHICORYLINK_FRONT_OUTER_PROTOCOL_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"
#include "chicorylink/front/wire_names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

/// @brief One answer of the store: items and the store's revision after them.
struct store_answer {
    std::vector<fleet::published_item> items;
    std::uint64_t as_of = 0;
    /// Whether another page follows behind the last item's key.
    bool has_more = false;
};

/// @brief What a caller asks the directory.
struct directory_question {
    fleet::region_name region;
    fleet::data_center_name data_center;
};

/// @brief How the platform around the daemon speaks. Functions without state of their own.
struct outer_protocol {
    wire_names names;

    /// The request target of a page of all items; `after` is the last key of the page before.
    std::string (*snapshot_target)(std::string_view after) = nullptr;
    /// The request target that waits for changes after a revision.
    std::string (*watch_target)(std::uint64_t after, base::milliseconds wait) = nullptr;
    base::result<store_answer> (*read_store_answer)(std::string_view body) = nullptr;
    fleet::item_decoder decode_item = nullptr;

    /// The path at which the platform asks whether this VM takes callers.
    std::string ready_path;
    /// Reads a caller's question; none when the target asks for something else.
    std::optional<directory_question> (*read_directory_question)(std::string_view target) = nullptr;
    std::string (*directory_answer)(const std::vector<std::string>& addresses,
                                    base::milliseconds lifetime) = nullptr;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_OUTER_PROTOCOL_HPP
