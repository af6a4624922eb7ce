#ifndef CHICORYLINK_FRONT_DATAGRAM_SOCKET_HPP
#define CHICORYLINK_FRONT_DATAGRAM_SOCKET_HPP

#include "chicorylink/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include <boost/asio/ip/udp.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief Receives and sends UDP datagrams on one port. Invalid datagrams are logged and counted.
class datagram_socket {
public:
    /// Returns an error when the bytes are not a valid message for this port.
    using handler = std::function<base::result<void>(std::span<const std::uint8_t> bytes,
                                                     const boost::asio::ip::udp::endpoint& from)>;

    /// @param unsent_counter Name of the counter of datagrams that the system didn't accept.
    datagram_socket(front_core& core, boost::asio::ip::udp::socket socket,
                    std::string unsent_counter, handler on_datagram);

    /// @brief Handles all datagrams that have arrived, without waiting for the event loop.
    void receive_pending();

    /// @brief Sends a datagram. One that the system doesn't accept is counted and dropped.
    void send(std::span<const std::uint8_t> bytes, const boost::asio::ip::udp::endpoint& to);

private:
    void receive();
    void handle(std::size_t size, const boost::asio::ip::udp::endpoint& from);

    front_core& m_core;
    boost::asio::ip::udp::socket m_socket;
    std::string m_unsent_counter;
    handler m_on_datagram;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_DATAGRAM_SOCKET_HPP
