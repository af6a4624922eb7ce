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

/// Ids of named objects are the 64-bit hash of the name, so that an id is the same on all VMs and
/// in all configuration versions. The validation of the rules rejects names whose ids collide.
using region_id = strong_id<region_tag>;
using data_center_id = strong_id<data_center_tag>;
using vm_id = strong_id<vm_tag>;
using team_id = strong_id<team_tag>;
using route_id = strong_id<route_tag>;
using target_id = strong_id<target_tag>;

/// Random id of one run of a process.
using incarnation = strong_id<incarnation_tag>;

/// Version of the rules; larger is newer, zero means unknown.
using config_version = strong_id<config_version_tag>;

/// @brief Hashes a name (64-bit XXH3). The hash is the same in all processes.
[[nodiscard]] std::uint64_t hash_name(std::string_view name);

/// @brief Hashes two values, for rendezvous hashing.
[[nodiscard]] std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b);

/// @brief Rank of a candidate in weighted rendezvous hashing. The candidate with the highest rank
/// is chosen; each candidate receives a share of the keys in proportion to its weight.
/// @param hash `hash_pair` of the key and the candidate.
/// @param weight Greater than zero.
[[nodiscard]] double rendezvous_rank(std::uint64_t hash, double weight);

/// @brief Returns the id of a named object, such as `id_of<team_id>("support")`.
template <class Id>
[[nodiscard]] Id id_of(std::string_view name)
{
    return Id{hash_name(name)};
}

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_IDS_HPP
