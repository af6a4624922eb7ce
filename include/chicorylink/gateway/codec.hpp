#ifndef CHICORYLINK_GATEWAY_CODEC_HPP
#define CHICORYLINK_GATEWAY_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/gateway/forwarded_request.hpp"
#include "chicorylink/gateway/response_head.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::gateway {

/// @brief Encodes a forwarded request's header.
[[nodiscard]] std::vector<std::uint8_t> encode(const forwarded_request& message);

/// @brief Decodes a forwarded request's header.
/// @return An `invalid_message` error when the bytes are malformed or violate the protocol.
[[nodiscard]] base::result<forwarded_request>
decode_forwarded_request(std::span<const std::uint8_t> bytes);

/// @brief Encodes a response's head, with a length prefix of four bytes (little endian).
[[nodiscard]] std::vector<std::uint8_t> encode(const response_head& message);

/// @brief Decodes a response's head without its length prefix.
/// @return An `invalid_message` error when the bytes are malformed.
[[nodiscard]] base::result<response_head> decode_response_head(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CODEC_HPP
