#ifndef CHICORYLINK_MEMBERSHIP_CODEC_HPP
#define CHICORYLINK_MEMBERSHIP_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/membership/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::membership {

/// @brief The FlatBuffers bytes of a message.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& value);

/// @brief Reads a message after it passed the FlatBuffers verifier.
/// @return An `invalid_message` error for anything else.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_CODEC_HPP
