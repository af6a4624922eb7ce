#ifndef CHICORYLINK_FRONT_PLATFORM_PROTOCOL_HPP
#define CHICORYLINK_FRONT_PLATFORM_PROTOCOL_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"
#include "chicorylink/front/header_names.hpp"
#include "chicorylink/front/message_head.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

/// @brief One response of the store.
struct store_response {
    std::vector<fleet::published_item> items;
    /// Items that are left out or lack their value because they can't be read, and why.
    std::vector<std::string> problems;
    /// The store's era; none if the response states none that can be read. The revisions carry it,
    /// or zero.
    std::optional<fleet::store_era> era;
    /// The revision of the whole store as of this response.
    fleet::store_revision as_of;
    /// Whether another page follows after the last item's key.
    bool has_more = false;
};

/// @brief A caller's query to the directory.
struct directory_query {
    /// The host that the caller sends requests for.
    std::string host;
    fleet::region_name region;
    fleet::data_center_name data_center;
};

/// @brief The protocol of the platform that the daemon runs on: header names, paths and stateless
/// functions that encode and decode its messages.
struct platform_protocol {
    header_names names;

    /// The request target of one page of all items; `after` is the last key of the previous page.
    std::string (*snapshot_target)(std::string_view after) = nullptr;
    /// The request target of a long poll for changes after a revision.
    std::string (*watch_target)(std::uint64_t after, base::milliseconds wait) = nullptr;
    base::result<store_response> (*read_store_response)(std::string_view body,
                                                        const header_fields& fields) = nullptr;
    fleet::item_decoder decode_item = nullptr;

    /// The path of the platform's readiness check.
    std::string ready_path;
    /// Parses a caller's query; none for any other request target.
    std::optional<directory_query> (*read_directory_query)(std::string_view target) = nullptr;
    std::string (*directory_response)(const std::vector<std::string>& addresses,
                                      base::milliseconds ttl) = nullptr;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_PLATFORM_PROTOCOL_HPP
