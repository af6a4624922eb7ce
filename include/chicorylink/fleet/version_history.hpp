#ifndef CHICORYLINK_FLEET_VERSION_HISTORY_HPP
#define CHICORYLINK_FLEET_VERSION_HISTORY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/software_version.hpp"
#include "chicorylink/fleet/target_entry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chicorylink::fleet {

/// @brief Which software versions of each service this process has seen in service.
class version_history {
public:
    /// A copy of the published state that wasn't confirmed for longer may have missed targets that
    /// came and left.
    static constexpr base::milliseconds longest_gap{3000};
    /// How long versions without targets are remembered.
    static constexpr base::milliseconds remembered_time{600'000};

    /// @brief Applies the published targets, of which a copy was confirmed at a time.
    void note(const std::map<target_name, target_entry>& targets, std::uint64_t generation,
              base::time_point confirmed_at, base::time_point now);

    /// @brief The only version of a service that was in service since a time; none if there were
    /// several, or if this process hasn't followed the published state for so long.
    [[nodiscard]] std::optional<version_hash> only_version(const service_name& service,
                                                           base::time_point since) const;

    /// @brief The text of a version, for the log; empty if it is unknown.
    [[nodiscard]] std::string text_of(const service_name& service, version_hash version) const;

private:
    struct seen_version {
        software_version version;
        bool is_present = false;
        base::time_point last_at{};
    };

    std::map<service_name, std::map<version_hash, seen_version>> m_seen;
    std::optional<std::uint64_t> m_generation;
    std::optional<base::time_point> m_confirmed_at;
    /// Since when no target can have been missed.
    base::time_point m_complete_since{};
};

/// @brief The only version of a service whose targets have all been up for so long that a release
/// would have ended, and with it the streams of the version before.
/// @param now_ms Calendar time.
[[nodiscard]] std::optional<version_hash>
long_serving_version(const std::map<target_name, target_entry>& targets,
                     const service_name& service, base::milliseconds longest_stream,
                     std::int64_t now_ms);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_VERSION_HISTORY_HPP
