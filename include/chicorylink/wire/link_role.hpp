#ifndef CHICORYLINK_WIRE_LINK_ROLE_HPP
#define CHICORYLINK_WIRE_LINK_ROLE_HPP

namespace chicorylink::wire {

/// @brief Which side of a connection this process is.
enum class link_role {
    /// Opened the connection; sends control messages and opens streams.
    dialer,
    /// Accepted the connection; sends responses.
    acceptor,
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_ROLE_HPP
