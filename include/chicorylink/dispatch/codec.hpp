#ifndef CHICORYLINK_DISPATCH_CODEC_HPP
#define CHICORYLINK_DISPATCH_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/dispatch/forward_header.hpp"
#include "chicorylink/dispatch/reply_header.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::dispatch {

/// @brief The bytes of a header.
[[nodiscard]] std::vector<std::uint8_t> encode(const forward_header& header);
[[nodiscard]] std::vector<std::uint8_t> encode(const reply_header& header);

/// @brief Reads a header.
/// @return `invalid_message` when the bytes are malformed or hold another header, or more hops
/// than one.
[[nodiscard]] base::result<forward_header> decode_forward(std::span<const std::uint8_t> bytes);
[[nodiscard]] base::result<reply_header> decode_reply(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_CODEC_HPP
