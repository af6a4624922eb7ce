#ifndef CHICORYLINK_MEMBERSHIP_CODEC_HPP
#define CHICORYLINK_MEMBERSHIP_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/membership/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::membership {

/// @brief Encodes a message as FlatBuffers bytes.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& value);

/// @brief Decodes a message after running the FlatBuffers verifier on the bytes.
/// @return An `invalid_message` error when the bytes are malformed.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_CODEC_HPP
