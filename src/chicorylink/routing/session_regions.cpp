#include "chicorylink/routing/session_regions.hpp"

namespace chicorylink::routing {
namespace {

/// Caches in other regions have evicted prefixes not used for longer than this.
constexpr base::milliseconds session_ttl{300'000};

} // namespace

session_regions::session_regions() : m_entries(capacity) {}

void session_regions::remember(prefix_hash session, base::region_id region, base::time_point now)
{
    if (session != prefix_hash{}) {
        m_entries[session.value() % capacity] = {session, region, now};
    }
}

std::optional<base::region_id> session_regions::find(prefix_hash session,
                                                     base::time_point now) const
{
    const auto& known = m_entries[session.value() % capacity];
    if (session == prefix_hash{} || known.session != session || now - known.seen > session_ttl) {
        return std::nullopt;
    }
    return known.region;
}

} // namespace chicorylink::routing
