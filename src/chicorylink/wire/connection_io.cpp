#include "chicorylink/wire/connection_io.hpp"

#include "chicorylink/wire/connection.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace chicorylink::wire {
namespace {

constexpr std::size_t read_bytes = 64U << 10U;
/// Maximum of reads of one connection before the next one is served.
constexpr int reads_per_turn = 4;
constexpr std::size_t output_bytes = 64U << 10U;
/// Maximum of writes of one connection before the next one is served.
constexpr int writes_per_turn = 16;

base::leaf::error_id connection_error(int number)
{
    return base::fail(base::error_kind::io,
                      number == 0 ? std::string{"the peer closed the connection"}
                                  : std::string{std::strerror(number)},
                      "it is connected again");
}

base::result<void> take_received(connection& link, std::span<const std::uint8_t> received,
                                 base::time_point now, std::vector<link_event>& events)
{
    std::vector<std::uint8_t> plain;
    if (link.tls != nullptr) {
        BOOST_LEAF_CHECK(link.tls->receive(received, plain));
        received = plain;
    }
    const std::lock_guard lock{link.mutex};
    return link.state.receive(received, now, events);
}

/// Fills the output buffer when it is empty.
base::result<void> fill_output(connection& link, base::time_point now)
{
    if (link.written < link.output.size()) {
        return {};
    }
    link.output.clear();
    link.written = 0;
    if (link.tls == nullptr) {
        const std::lock_guard lock{link.mutex};
        link.state.take_output(link.output, output_bytes, now);
        return {};
    }
    if (link.tls->handshake_done()) {
        std::vector<std::uint8_t> plain;
        {
            const std::lock_guard lock{link.mutex};
            link.state.take_output(plain, output_bytes, now);
        }
        BOOST_LEAF_CHECK(link.tls->send(plain));
    }
    link.tls->take_output(link.output);
    return {};
}

} // namespace

base::result<void> read_from(connection& link, base::time_point now,
                             std::vector<link_event>& events)
{
    static thread_local std::array<std::uint8_t, read_bytes> buffer;
    for (int i = 0; i < reads_per_turn; ++i) {
        const auto count = ::recv(link.socket.get(), buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return {};
        }
        if (count <= 0) {
            return connection_error(count < 0 ? errno : 0);
        }
        const auto size = static_cast<std::size_t>(count);
        BOOST_LEAF_CHECK(take_received(link, {buffer.data(), size}, now, events));
        if (size < buffer.size()) {
            return {};
        }
    }
    return {};
}

base::result<void> write_to(connection& link, base::time_point now)
{
    link.waits_for_writable = false;
    if (link.connecting) {
        return {};
    }
    for (int i = 0; i < writes_per_turn; ++i) {
        BOOST_LEAF_CHECK(fill_output(link, now));
        if (link.output.empty()) {
            return {};
        }
        const auto count = ::send(link.socket.get(), link.output.data() + link.written,
                                  link.output.size() - link.written, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EINTR) {
            return connection_error(errno);
        }
        if (count > 0) {
            link.written += static_cast<std::size_t>(count);
        }
        if (link.written < link.output.size()) {
            break;
        }
    }
    link.waits_for_writable = true;
    return {};
}

} // namespace chicorylink::wire
