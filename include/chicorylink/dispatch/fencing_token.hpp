#ifndef CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP
#define CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP

#include "chicorylink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace chicorylink::dispatch {

/// @brief Orders the commands to one engine; a larger token is newer.
///
/// Grows across restarts without storage: tokens of a newer configuration are larger, and within
/// one configuration those of a later process start. Two processes of one VM never share a start
/// time, because the VM's wall clock advances between them.
struct fencing_token {
    base::config_version version;
    /// Start of the sending process, in milliseconds since 1970.
    std::uint64_t process_start = 0;
    /// Counts the commands of that process.
    std::uint64_t counter = 0;

    friend auto operator<=>(const fencing_token&, const fencing_token&) = default;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_FENCING_TOKEN_HPP
