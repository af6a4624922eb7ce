#ifndef CHICORYLINK_BUDGET_CODEC_HPP
#define CHICORYLINK_BUDGET_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/budget/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::budget {

/// @brief Serializes a message.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& msg);

/// @brief Parses a message that another VM sent.
/// @return An `invalid_message` error when the bytes are not a valid budget message.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> data);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_CODEC_HPP
