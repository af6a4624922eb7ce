#ifndef CHICORYLINK_GATEWAY_CONTROL_CHANNEL_HPP
#define CHICORYLINK_GATEWAY_CONTROL_CHANNEL_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/frame.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chicorylink::gateway {

/// The channels of control messages on the peer links, one for each module.
inline constexpr wire::channel_id membership_channel{1};
inline constexpr wire::channel_id config_channel{2};
inline constexpr wire::channel_id budget_channel{3};
inline constexpr wire::channel_id routing_channel{4};
inline constexpr wire::channel_id targets_channel{5};

/// @brief A control message and the incarnation that sent it. A process may continue under a new
/// incarnation while its links stay open, so each message carries its own.
struct control_message {
    base::incarnation process;
    std::span<const std::uint8_t> content;
};

/// @brief Encodes a control message.
[[nodiscard]] std::vector<std::uint8_t> wrap_control(base::incarnation process,
                                                     std::span<const std::uint8_t> content);

/// @brief Decodes a control message; empty when it is too short.
[[nodiscard]] std::optional<control_message> unwrap_control(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CONTROL_CHANNEL_HPP
