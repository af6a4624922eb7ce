#ifndef CHICORYLINK_WIRE_SOCKET_HPP
#define CHICORYLINK_WIRE_SOCKET_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/wire/file_descriptor.hpp"

#include <string>
#include <sys/socket.h>

namespace chicorylink::wire {

/// @brief A socket address of the operating system, parsed from `IP:port`.
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;
};

/// @return `invalid_setting` when the text is not a valid `IP:port`.
[[nodiscard]] base::result<socket_address> parse_address(const std::string& text);

/// @brief Opens a non-blocking listening socket.
[[nodiscard]] base::result<file_descriptor> listen_on(const std::string& address);

/// @brief The `IP:port` that a socket is bound to.
[[nodiscard]] std::string bound_address(const file_descriptor& socket);

/// @brief A non-blocking socket whose connection was started.
struct connect_attempt {
    file_descriptor socket;
    /// The system's error number; zero while connecting is in progress.
    int failure = 0;
};

[[nodiscard]] connect_attempt connect_to(const socket_address& address);

/// @brief Accepts the next connection of a listening socket; not valid when there is none.
[[nodiscard]] file_descriptor accept_from(const file_descriptor& listener);

/// @brief The error number of a connection that was started; zero when it succeeded.
[[nodiscard]] int connect_error(const file_descriptor& socket);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_SOCKET_HPP
