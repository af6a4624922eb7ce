#ifndef CHICORYLINK_WIRE_CONNECTION_IO_HPP
#define CHICORYLINK_WIRE_CONNECTION_IO_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/link_event.hpp"

#include <vector>

namespace chicorylink::wire {

struct connection;

/// @brief Reads available bytes of a socket, up to a limit, and processes them. Network thread
/// only.
/// @param events Receives the decoded events, also when this fails.
/// @return An error when the connection must be closed; `io` when the peer closed it.
[[nodiscard]] base::result<void> read_from(connection& link, base::time_point now,
                                           std::vector<link_event>& events);

/// @brief Writes as much as the socket accepts, up to a limit, and records whether to wait until
/// it is writable. Network thread only.
/// @return An error when the connection must be closed.
[[nodiscard]] base::result<void> write_to(connection& link, base::time_point now);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_CONNECTION_IO_HPP
