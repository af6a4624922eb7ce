#ifndef CHICORYLINK_WIRE_LINK_ROLE_HPP
#define CHICORYLINK_WIRE_LINK_ROLE_HPP

namespace chicorylink::wire {

/// @brief Which side of a connection this process is.
enum class link_role {
    /// Connected to the peer; sends control messages and opens streams.
    dialer,
    /// Was connected to; answers.
    acceptor,
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_ROLE_HPP
