#ifndef CHICORYLINK_FLEET_SOFTWARE_VERSION_HPP
#define CHICORYLINK_FLEET_SOFTWARE_VERSION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/strong.hpp"
#include "chicorylink/fleet/names.hpp"

#include <string_view>

namespace chicorylink::fleet {

struct version_hash_tag;
struct stream_hash_tag;

/// Identifies a software version in messages.
using version_hash = base::strong_id<version_hash_tag>;

/// Identifies a stream by the id of the caller's request that began it.
using stream_hash = base::strong_id<stream_hash_tag>;

/// @brief Versions of different services are different, whatever their names.
[[nodiscard]] inline version_hash hash_of(const service_name& service,
                                          const software_version& version)
{
    return version_hash{
        base::hash_pair(base::hash_name(service.text()), base::hash_name(version.text()))};
}

[[nodiscard]] inline stream_hash hash_of_stream(std::string_view request_id)
{
    return stream_hash{base::hash_name(request_id)};
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SOFTWARE_VERSION_HPP
