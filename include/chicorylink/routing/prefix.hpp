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

/// The salted hash of the beginning of a prompt. Equal beginnings of two teams differ in it.
using prefix_hash = base::strong_id<prefix_tag>;

/// The text that one block of a prefix covers.
inline constexpr std::size_t prefix_block_bytes = 2048;

/// About as many tokens as a block of text holds.
inline constexpr std::int64_t prefix_block_tokens = 512;

/// The number of blocks of one prompt that are told apart.
inline constexpr std::size_t max_prefix_blocks = 32;

/// @brief The hashes of one prompt's beginning.
struct prompt_prefix {
    /// Hash of the messages up to and including the first one of the user. Zero without a prompt.
    /// It is the same for all turns of one conversation.
    prefix_hash session;
    /// Hash of the first block, of the first two blocks, and so on; whole blocks only.
    std::vector<prefix_hash> blocks;
};

/// @brief The salted hashes of a prompt.
/// @param salt A secret of the region's VMs; it never leaves the regions that the team allows.
/// @param who The team; part of the salt, so that no team can find out what another one sent.
/// @param messages The texts of the conversation in order.
/// @param opening The number of messages that open the conversation: those up to and including the
/// first message of the user.
[[nodiscard]] prompt_prefix make_prefix(std::uint64_t salt, base::team_id who,
                                        std::span<const std::string_view> messages,
                                        std::size_t opening);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_PREFIX_HPP
