#ifndef CHICORYLINK_CONFIG_CODEC_HPP
#define CHICORYLINK_CONFIG_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/config/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::config {

/// @brief Encodes a message as FlatBuffers bytes.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& value);

/// @brief Decodes a message after running the FlatBuffers verifier on the bytes.
/// @return An `invalid_message` error when the bytes are malformed.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_CODEC_HPP
