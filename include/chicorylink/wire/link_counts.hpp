#ifndef CHICORYLINK_WIRE_LINK_COUNTS_HPP
#define CHICORYLINK_WIRE_LINK_COUNTS_HPP

#include <cstdint>

namespace chicorylink::wire {

/// @brief Frames that one link received and dropped, by cause.
struct link_counts {
    std::uint64_t other_incarnation = 0;
    /// Frames of a stream that is unknown or finished.
    std::uint64_t unknown_stream = 0;
    /// Open frames with a stream number that was used before.
    std::uint64_t repeated_open = 0;
    /// Open frames beyond the limit of streams.
    std::uint64_t refused_open = 0;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_COUNTS_HPP
