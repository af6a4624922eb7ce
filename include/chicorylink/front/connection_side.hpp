#ifndef CHICORYLINK_FRONT_CONNECTION_SIDE_HPP
#define CHICORYLINK_FRONT_CONNECTION_SIDE_HPP

#include <string_view>

namespace chicorylink::front {

/// @brief Who opened a connection to this VM.
enum class connection_side { caller, peer };

[[nodiscard]] constexpr std::string_view to_string(connection_side side)
{
    return side == connection_side::peer ? "peer" : "caller";
}

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_SIDE_HPP
