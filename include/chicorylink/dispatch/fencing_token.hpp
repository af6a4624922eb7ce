#ifndef CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP
#define CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP

#include "chicorylink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace chicorylink::dispatch {

/// @brief Orders the orders to one engine; a larger one is newer.
///
/// Grows across restarts without storage: a new configuration makes all its tokens larger, and
/// within one configuration a later process start does. Two processes of one VM never share a
/// start, as the VM's calendar clock goes on between them.
struct fencing_token {
    base::config_version version;
    /// Milliseconds since 1970 at the start of the ordering process.
    std::uint64_t process_start = 0;
    /// Counts the orders of that process.
    std::uint64_t counter = 0;

    friend auto operator<=>(const fencing_token&, const fencing_token&) = default;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP
