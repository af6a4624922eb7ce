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

/// @brief Takes and sends the datagrams of one port. What can't be read is logged and counted.
class datagram_socket {
public:
    /// An error means that the bytes are no message of this port.
    using handler = std::function<base::result<void>(std::span<const std::uint8_t> bytes,
                                                     const boost::asio::ip::udp::endpoint& from)>;

    /// @param unsent_counter Counts what the system does not take.
    datagram_socket(front_core& core, boost::asio::ip::udp::socket socket,
                    std::string unsent_counter, handler on_datagram);

    /// @brief Takes all datagrams that have arrived, without waiting for the loop.
    void take_pending();

    void send(std::span<const std::uint8_t> bytes, const boost::asio::ip::udp::endpoint& to);

private:
    void receive();
    void take(std::size_t size, const boost::asio::ip::udp::endpoint& from);

    front_core& m_core;
    boost::asio::ip::udp::socket m_socket;
    std::string m_unsent_counter;
    handler m_on_datagram;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_DATAGRAM_SOCKET_HPP
