#include "chicorylink/front/datagram_socket.hpp"

#include "chicorylink/front/front_core.hpp"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace chicorylink::front {
namespace {

using udp = boost::asio::ip::udp;

/// The largest possible datagram. A heartbeat with the digests of all regions takes about 40 bytes
/// for each VM of the fleet.
constexpr std::size_t datagram_bytes = 64UL * 1024;

std::array<std::uint8_t, datagram_bytes>& receive_buffer()
{
    static std::array<std::uint8_t, datagram_bytes> buffer;
    return buffer;
}

} // namespace

datagram_socket::datagram_socket(front_core& core, udp::socket socket, std::string unsent_counter,
                                 handler on_datagram)
    : m_core(core), m_socket(std::move(socket)), m_unsent_counter(std::move(unsent_counter)),
      m_on_datagram(std::move(on_datagram))
{
    m_socket.non_blocking(true);
    receive();
}

void datagram_socket::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](boost::system::error_code stopped) {
        if (stopped) {
            return;
        }
        receive_pending();
        receive();
    });
}

void datagram_socket::receive_pending()
{
    boost::system::error_code problem;
    while (!problem) {
        udp::endpoint from;
        const auto size =
            m_socket.receive_from(boost::asio::buffer(receive_buffer()), from, 0, problem);
        if (!problem) {
            handle(size, from);
        }
    }
}

void datagram_socket::handle(std::size_t size, const udp::endpoint& from)
{
    run_guarded(m_core, "datagram", [&] {
        base::leaf::try_handle_all(
            [&]() -> base::result<void> {
                return m_on_datagram({receive_buffer().data(), size}, from);
            },
            [&](const base::error& problem) {
                m_core.counters.add("bad_datagrams_total");
                write_log(m_core, log_event(m_core, "bad_datagram")
                                      .add("from", from.address().to_string())
                                      .add("reason", base::describe(problem)));
            },
            [] {});
    });
}

void datagram_socket::send(std::span<const std::uint8_t> bytes, const udp::endpoint& to)
{
    boost::system::error_code problem;
    m_socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), to, 0, problem);
    if (problem) {
        m_core.counters.add(m_unsent_counter);
    }
}

} // namespace chicorylink::front
