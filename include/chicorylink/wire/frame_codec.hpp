#ifndef CHICORYLINK_WIRE_FRAME_CODEC_HPP
#define CHICORYLINK_WIRE_FRAME_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/wire/frame.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::wire {

/// Bytes of the length prefix of a frame: the body's length, most significant byte first.
inline constexpr std::size_t length_prefix_bytes = 4;

/// Upper bound of the bytes that encoding adds to a payload.
inline constexpr std::size_t envelope_bytes = 128;

/// @brief Appends a frame with its length prefix to a buffer.
void append_frame(std::vector<std::uint8_t>& out, const frame& value);

/// @brief Decodes the body of a frame, without its length prefix.
/// @return A frame whose payload points into `body`, or `invalid_message`.
[[nodiscard]] base::result<frame> decode_frame(std::span<const std::uint8_t> body);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_FRAME_CODEC_HPP
