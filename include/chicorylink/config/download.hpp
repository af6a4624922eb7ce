#ifndef CHICORYLINK_CONFIG_DOWNLOAD_HPP
#define CHICORYLINK_CONFIG_DOWNLOAD_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/manifest.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chicorylink::config {

/// @brief The download of a newer version, from one source at a time.
struct download {
    /// The wanted version; the manifest that arrives may be newer.
    base::config_version version;
    /// Zero means the configuration service.
    base::vm_id source;
    std::optional<rules::manifest> manifest;
    std::string manifest_text;
    /// Requested parts, with the bytes received so far of each.
    std::map<base::digest, std::string> partial;
    base::time_point progress_at{};
    /// Sources that failed during this download.
    std::set<base::vm_id> failed;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_DOWNLOAD_HPP
