#ifndef CHICORYLINK_BASE_IDS_HPP
#define CHICORYLINK_BASE_IDS_HPP

#include "chicorylink/base/strong.hpp"

#include <cstdint>
#include <string_view>

namespace chicorylink::base {

struct region_tag;
struct data_center_tag;
struct vm_tag;
struct team_tag;
struct route_tag;
struct target_tag;
struct incarnation_tag;
struct config_version_tag;

/// Named things are identified by the 64-bit hash of their name, so that an id is the same on
/// all VMs and in all configuration versions. The rules check refuses names whose ids collide.
using region_id = strong_id<region_tag>;
using data_center_id = strong_id<data_center_tag>;
using vm_id = strong_id<vm_tag>;
using team_id = strong_id<team_tag>;
using route_id = strong_id<route_tag>;
using target_id = strong_id<target_tag>;

/// The random identity of one process run.
using incarnation = strong_id<incarnation_tag>;

/// The version of the rules; a larger one is newer. Zero means that none is known.
using config_version = strong_id<config_version_tag>;

/// @brief Hash of a name, stable across processes (XXH3, 64 bits).
[[nodiscard]] std::uint64_t hash_name(std::string_view name);

/// @brief Hash of two values, for rendezvous hashing.
[[nodiscard]] std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b);

/// @brief The rank of a place in weighted rendezvous hashing. The place with the highest rank is
/// chosen, each in proportion to its weight.
/// @param bits `hash_pair` of the key and the place.
/// @param weight Above zero.
[[nodiscard]] double rendezvous_rank(std::uint64_t bits, double weight);

/// @brief The id of a named thing, such as `id_of<team_id>("support")`.
template <class Id>
[[nodiscard]] Id id_of(std::string_view name)
{
    return Id{hash_name(name)};
}

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_IDS_HPP
