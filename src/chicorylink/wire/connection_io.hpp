#ifndef CHICORYLINK_WIRE_CONNECTION_IO_HPP
#define CHICORYLINK_WIRE_CONNECTION_IO_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/link_event.hpp"

#include <vector>

namespace chicorylink::wire {

struct connection;

/// @brief Reads what a socket has, up to a bound, and works it off. Network thread only.
/// @param events What arrived, also when this fails.
/// @return An error when the connection must be closed; `io` when the peer closed it.
[[nodiscard]] base::result<void> read_from(connection& link, base::time_point now,
                                           std::vector<link_event>& events);

/// @brief Writes what a socket takes, and notes whether it waits for the socket to be writable.
/// Network thread only.
/// @return An error when the connection must be closed.
[[nodiscard]] base::result<void> write_to(connection& link, base::time_point now);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_CONNECTION_IO_HPP
