#include "chicorylink/routing/prefix_hints.hpp"

#include <algorithm>
#include <bit>

namespace chicorylink::routing {
namespace {

constexpr std::size_t bucket_size = 4;

/// Engines evict prefixes that have not been used for a long time, so older hints are ignored.
constexpr base::milliseconds hint_ttl{600'000};

bool listed(std::span<const prefix_holder> found, std::size_t count, base::target_id holder)
{
    const auto seen = found.first(count);
    return std::any_of(seen.begin(), seen.end(),
                       [&](const prefix_holder& other) { return other.target == holder; });
}

} // namespace

prefix_hints::prefix_hints(std::size_t capacity)
    : m_entries(std::bit_ceil(std::max(capacity, bucket_size)))
{
}

std::span<prefix_hints::entry> prefix_hints::bucket(prefix_hash hash)
{
    const auto buckets = m_entries.size() / bucket_size;
    const auto index = hash.value() & (buckets - 1);
    return std::span(m_entries).subspan(index * bucket_size, bucket_size);
}

std::span<const prefix_hints::entry> prefix_hints::bucket(prefix_hash hash) const
{
    const auto buckets = m_entries.size() / bucket_size;
    const auto index = hash.value() & (buckets - 1);
    return std::span(m_entries).subspan(index * bucket_size, bucket_size);
}

void prefix_hints::remember(std::span<const prefix_hash> blocks, base::target_id holder,
                            base::time_point now)
{
    for (const auto hash : blocks) {
        const auto entries = bucket(hash);
        auto position = std::find_if(entries.begin(), entries.end(), [&](const entry& known) {
            return known.hash == hash && known.holder == holder;
        });
        if (position == entries.end()) {
            position = std::min_element(
                entries.begin(), entries.end(),
                [](const entry& left, const entry& right) { return left.seen < right.seen; });
        }
        *position = entry{hash, holder, now};
    }
}

void prefix_hints::remove(base::target_id holder)
{
    for (auto& known : m_entries) {
        if (known.holder == holder) {
            known = entry{};
        }
    }
}

std::size_t prefix_hints::find(std::span<const prefix_hash> blocks, base::time_point now,
                               std::span<prefix_holder> found) const
{
    std::size_t count = 0;
    for (std::size_t depth = blocks.size(); depth > 0 && count < found.size(); --depth) {
        const auto hash = blocks[depth - 1];
        for (const auto& known : bucket(hash)) {
            const auto usable = known.hash == hash && now - known.seen < hint_ttl;
            if (!usable || count == found.size() || listed(found, count, known.holder)) {
                continue;
            }
            found[count] = prefix_holder{known.holder, depth};
            ++count;
        }
    }
    return count;
}

} // namespace chicorylink::routing
