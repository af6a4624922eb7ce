#ifndef CHICORYLINK_FLEET_STREAM_ORIGINS_HPP
#define CHICORYLINK_FLEET_STREAM_ORIGINS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/software_version.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

/// @brief The software versions that began the streams which callers may take up again.
class stream_origins {
public:
    /// Bounds the records to about 4 MB. Those that expire first are dropped.
    static constexpr std::size_t max_streams = 32'768;

    /// @brief Records the version that began a stream. The first record of a stream counts.
    void record(stream_hash stream, version_hash version, base::time_point expires_at);

    [[nodiscard]] std::optional<version_hash> find(stream_hash stream, base::time_point now) const;

    void drop_expired(base::time_point now);

    [[nodiscard]] std::size_t size() const { return m_origins.size(); }

private:
    struct origin {
        version_hash version;
        base::time_point expires_at{};
    };

    std::map<stream_hash, origin> m_origins;
    std::set<std::pair<base::time_point, stream_hash>> m_by_expiry;
};

/// @brief The VMs of a region that keep the origin of a stream beside the one that passed its first
/// event to the caller.
/// @param region_ips The live VMs of the region.
[[nodiscard]] std::vector<std::string> origin_keepers(stream_hash stream,
                                                      const std::vector<std::string>& region_ips);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STREAM_ORIGINS_HPP
