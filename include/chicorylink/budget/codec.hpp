#ifndef CHICORYLINK_BUDGET_CODEC_HPP
#define CHICORYLINK_BUDGET_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/budget/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::budget {

/// @brief The bytes of a message.
[[nodiscard]] std::vector<std::uint8_t> encode(const message& what);

/// @brief Reads a message from bytes of another VM.
/// @return An `invalid_message` error when they are not a message of this module.
[[nodiscard]] base::result<message> decode(std::span<const std::uint8_t> data);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_CODEC_HPP
