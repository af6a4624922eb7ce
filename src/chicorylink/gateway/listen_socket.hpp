#ifndef CHICORYLINK_GATEWAY_LISTEN_SOCKET_HPP
#define CHICORYLINK_GATEWAY_LISTEN_SOCKET_HPP

#include "chicorylink/base/error.hpp"

#include <cstdint>
#include <string_view>

namespace chicorylink::gateway {

/// @brief Opens a TCP socket that listens on `IP:port` or `[IPv6]:port`.
/// @return The descriptor, or an `invalid_setting` error that names the address.
[[nodiscard]] base::result<int> open_listen_socket(std::string_view address);

/// @brief The port that a listening socket is bound to; zero when it is unknown.
[[nodiscard]] std::uint16_t port_of_socket(int descriptor);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_LISTEN_SOCKET_HPP
