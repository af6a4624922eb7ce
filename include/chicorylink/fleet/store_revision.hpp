#ifndef CHICORYLINK_FLEET_STORE_REVISION_HPP
#define CHICORYLINK_FLEET_STORE_REVISION_HPP

#include "chicorylink/base/strong.hpp"

#include <compare>
#include <cstdint>

namespace chicorylink::fleet {

struct store_era_tag;

/// @brief Number of one history of the store; zero if the store states none.
///
/// A store that returns from an older copy of its data has lost its latest changes and gives out
/// their revisions again. Each such return begins the next era.
using store_era = base::strong_id<store_era_tag>;

/// @brief Position of a change among all changes of the store, over all its eras.
struct store_revision {
    store_era era;
    /// Increases with each change within an era; zero before the first one.
    std::uint64_t number = 0;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STORE_REVISION_HPP
