#ifndef CHICORYLINK_FRONT_CONNECTION_USE_HPP
#define CHICORYLINK_FRONT_CONNECTION_USE_HPP

#include <array>
#include <string_view>

namespace chicorylink::front {

/// @brief What would be lost if a connection from a caller or another VM closed now.
enum class connection_use {
    /// Nothing: all requests are answered, and no byte of another one has arrived.
    idle,
    /// The first request, which may be on its way: the connection is new.
    expected,
    /// A request of which bytes have arrived, read or not.
    arriving,
    /// A request that is being served, or a response that is not fully sent.
    serving,
};

inline constexpr std::array all_connection_uses{connection_use::idle, connection_use::expected,
                                                connection_use::arriving, connection_use::serving};

[[nodiscard]] constexpr std::string_view to_string(connection_use use)
{
    switch (use) {
    case connection_use::idle:
        return "idle";
    case connection_use::expected:
        return "expected";
    case connection_use::arriving:
        return "arriving";
    case connection_use::serving:
        return "serving";
    }
    return "unknown";
}

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_USE_HPP
