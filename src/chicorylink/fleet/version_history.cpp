#include "chicorylink/fleet/version_history.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// From the start of the new targets to the end of the old ones.
constexpr base::milliseconds longest_release{120'000};

} // namespace

void version_history::note(const std::map<target_name, target_entry>& targets,
                           std::uint64_t generation, base::time_point confirmed_at,
                           base::time_point now)
{
    if (!m_confirmed_at || confirmed_at - *m_confirmed_at > longest_gap) {
        m_complete_since = confirmed_at;
    }
    m_confirmed_at = std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
    if (m_generation == generation) {
        return;
    }
    m_generation = generation;
    for (auto& [service, versions] : m_seen) {
        for (auto& [hash, seen] : versions) {
            if (seen.is_present) {
                seen.is_present = false;
                seen.last_at = now;
            }
        }
    }
    for (const auto& [name, entry] : targets) {
        auto& seen = m_seen[entry.service][hash_of(entry.service, entry.version)];
        seen.version = entry.version;
        seen.is_present = true;
    }
    for (auto& [service, versions] : m_seen) {
        std::erase_if(versions, [&](const auto& entry) {
            return !entry.second.is_present && now - entry.second.last_at > remembered_time;
        });
    }
    std::erase_if(m_seen, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<version_hash> version_history::only_version(const service_name& service,
                                                          base::time_point since) const
{
    const auto found = m_seen.find(service);
    if (found == m_seen.end() || !m_confirmed_at || m_complete_since > since) {
        return std::nullopt;
    }
    std::optional<version_hash> only;
    for (const auto& [hash, seen] : found->second) {
        if (!seen.is_present && seen.last_at < since) {
            continue;
        }
        if (only) {
            return std::nullopt;
        }
        only = hash;
    }
    return only;
}

std::string version_history::text_of(const service_name& service, version_hash version) const
{
    const auto found = m_seen.find(service);
    if (found == m_seen.end()) {
        return {};
    }
    const auto seen = found->second.find(version);
    return seen == found->second.end() ? std::string{} : seen->second.version.text();
}

std::optional<version_hash> long_serving_version(const std::map<target_name, target_entry>& targets,
                                                 const service_name& service,
                                                 base::milliseconds longest_stream,
                                                 std::int64_t now_ms)
{
    std::optional<version_hash> only;
    for (const auto& [name, entry] : targets) {
        if (entry.service != service) {
            continue;
        }
        const auto version = hash_of(entry.service, entry.version);
        const bool is_young =
            now_ms - entry.started_ms < (longest_release + longest_stream).count();
        if (is_young || entry.started_ms <= 0 || only.value_or(version) != version) {
            return std::nullopt;
        }
        only = version;
    }
    return only;
}

} // namespace chicorylink::fleet
