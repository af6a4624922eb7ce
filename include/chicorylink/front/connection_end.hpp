#ifndef CHICORYLINK_FRONT_CONNECTION_END_HPP
#define CHICORYLINK_FRONT_CONNECTION_END_HPP

#include <array>
#include <string_view>

namespace chicorylink::front {

/// @brief Why a connection from a caller or another VM has ended.
enum class connection_end {
    /// The other side closed it, or the network broke it.
    remote,
    /// This VM closed it behind a response that said so.
    last_response,
    /// This VM reset it because it could not complete a response.
    cut,
    /// It had no request for longer than the idle limit.
    idle,
    /// It gave way to another connection.
    too_many_connections,
    process_exit,
};

inline constexpr std::array all_connection_ends{
    connection_end::remote, connection_end::last_response,        connection_end::cut,
    connection_end::idle,   connection_end::too_many_connections, connection_end::process_exit};

[[nodiscard]] constexpr std::string_view to_string(connection_end end)
{
    switch (end) {
    case connection_end::remote:
        return "remote";
    case connection_end::last_response:
        return "last_response";
    case connection_end::cut:
        return "cut";
    case connection_end::idle:
        return "idle";
    case connection_end::too_many_connections:
        return "too_many_connections";
    case connection_end::process_exit:
        return "process_exit";
    }
    return "unknown";
}

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_END_HPP
