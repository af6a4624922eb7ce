#ifndef CHICORYLINK_FLEET_STREAM_ORIGIN_HPP
#define CHICORYLINK_FLEET_STREAM_ORIGIN_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/software_version.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::fleet {

/// @brief The software version that began a stream, as VMs of a region tell it to each other.
struct stream_origin {
    stream_hash stream;
    version_hash version;
    /// Remaining time for which a caller may take the stream up.
    base::milliseconds stays{0};
};

/// @brief A question of one VM to another: which version began a stream.
struct origin_query {
    std::uint64_t number = 0;
    stream_hash stream;
};

struct origin_answer {
    std::uint64_t number = 0;
    /// None if the answering VM doesn't know the stream.
    std::optional<version_hash> version;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STREAM_ORIGIN_HPP
