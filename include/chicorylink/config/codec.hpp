#ifndef CHICORYLINK_CONFIG_CODEC_HPP
#define CHICORYLINK_CONFIG_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/config/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::config {

/// @brief The FlatBuffers bytes of a message.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& value);

/// @brief Reads a message after it passed the FlatBuffers verifier.
/// @return An `invalid_message` error for anything else.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_CODEC_HPP
