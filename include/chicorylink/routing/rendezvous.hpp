#ifndef CHICORYLINK_ROUTING_RENDEZVOUS_HPP
#define CHICORYLINK_ROUTING_RENDEZVOUS_HPP

#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/routing/region_state.hpp"

#include <cstddef>
#include <cstdint>

namespace chicorylink::routing {

/// @brief The weight of a pair in rendezvous hashing (the finalizer of SplitMix64).
[[nodiscard]] constexpr std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t node)
{
    auto mixed = key ^ node;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

/// @brief The index of a session's home target, among the targets that accept work.
/// @return The number of targets if none accepts work.
[[nodiscard]] std::size_t rendezvous_winner(const region_state& state, prefix_hash session);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_RENDEZVOUS_HPP
