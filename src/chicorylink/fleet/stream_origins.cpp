#include "chicorylink/fleet/stream_origins.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <iterator>

namespace chicorylink::fleet {
namespace {

/// Enough that two of them may fail without effect.
constexpr std::size_t keeper_count = 3;

} // namespace

void stream_origins::record(stream_hash stream, version_hash version, base::time_point expires_at)
{
    const auto [entry, is_new] = m_origins.try_emplace(stream, origin{version, expires_at});
    if (!is_new) {
        if (entry->second.version != version || entry->second.expires_at >= expires_at) {
            return;
        }
        m_by_expiry.erase({entry->second.expires_at, stream});
        entry->second.expires_at = expires_at;
    }
    m_by_expiry.emplace(expires_at, stream);
    if (m_origins.size() > max_streams) {
        m_origins.erase(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
    }
}

std::optional<version_hash> stream_origins::find(stream_hash stream, base::time_point now) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || found->second.expires_at <= now) {
        return std::nullopt;
    }
    return found->second.version;
}

void stream_origins::drop_expired(base::time_point now)
{
    while (!m_by_expiry.empty() && m_by_expiry.begin()->first <= now) {
        m_origins.erase(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
    }
}

std::vector<std::string> origin_keepers(stream_hash stream,
                                        const std::vector<std::string>& region_ips)
{
    auto keepers = region_ips;
    // In a small region all VMs keep all origins.
    if (keepers.size() <= keeper_count + 1) {
        return keepers;
    }
    const auto rank = [&](const std::string& ip) {
        return base::hash_pair(stream.value(), base::hash_name(ip));
    };
    const auto end = keepers.begin() + static_cast<std::ptrdiff_t>(keeper_count);
    std::partial_sort(
        keepers.begin(), end, keepers.end(),
        [&](const std::string& a, const std::string& b) { return rank(a) > rank(b); });
    keepers.erase(end, keepers.end());
    return keepers;
}

} // namespace chicorylink::fleet
