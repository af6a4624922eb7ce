#ifndef CHICORYLINK_ROUTING_PREFIX_HPP
#define CHICORYLINK_ROUTING_PREFIX_HPP

#include "chicorylink/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace chicorylink::routing {

struct prefix_tag;

/// The salted hash of a prompt prefix. Equal prefixes of two teams have different hashes.
using prefix_hash = base::strong_id<prefix_tag>;

/// Bytes of text in one block of a prefix.
inline constexpr std::size_t prefix_block_bytes = 2048;

/// Approximate number of tokens in a block.
inline constexpr std::int64_t prefix_block_tokens = 512;

/// The maximum number of blocks hashed for one prompt.
inline constexpr std::size_t max_prefix_blocks = 32;

/// @brief The hashes of one prompt's prefix.
struct prompt_prefix {
    /// Hash of the messages up to and including the first user message. Zero without a prompt.
    /// It is the same for all turns of one conversation.
    prefix_hash session;
    /// Hash of the first block, of the first two blocks, and so on; whole blocks only.
    std::vector<prefix_hash> blocks;
};

/// @brief Computes the salted hashes of a prompt.
/// @param salt A secret of the region's VMs; it never leaves the team's allowed regions.
/// @param team The team; part of the salt, so that no team can detect what another one sent.
/// @param messages The texts of the conversation in order.
/// @param opening The number of opening messages: up to and including the first user message.
[[nodiscard]] prompt_prefix make_prefix(std::uint64_t salt, base::team_id team,
                                        std::span<const std::string_view> messages,
                                        std::size_t opening);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_PREFIX_HPP
