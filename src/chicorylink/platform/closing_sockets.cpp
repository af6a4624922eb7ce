#include "chicorylink/platform/closing_sockets.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace chicorylink::platform {
namespace {

/// A reset comes within a round trip to the farthest region and some retransmissions.
constexpr int max_checks = 100;

std::string local_address_of(int socket)
{
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
        ::inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        return fmt::format("{}:{}", text.data(), ntohs(v6->sin6_port));
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    ::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    return fmt::format("{}:{}", text.data(), ntohs(v4->sin_port));
}

bool has_unacknowledged(int socket)
{
    int count = 0;
    return ::ioctl(socket, SIOCOUTQ, &count) == 0 && count > 0;
}

bool has_error(int socket)
{
    int pending = 0;
    socklen_t size = sizeof(pending);
    return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &pending, &size) == 0 && pending != 0;
}

} // namespace

closing_sockets::~closing_sockets()
{
    close_others({});
}

int closing_sockets::on_close(void* self, curl_socket_t socket)
{
    static_cast<closing_sockets*>(self)->m_entries.push_back(
        {socket, local_address_of(socket), max_checks});
    return 0;
}

std::vector<closing_sockets::entry>::iterator closing_sockets::find(std::string_view local_address)
{
    return std::find_if(m_entries.begin(), m_entries.end(),
                        [&](const entry& one) { return one.local_address == local_address; });
}

void closing_sockets::probe(std::string_view local_address, char next_byte)
{
    const auto found = find(local_address);
    if (found == m_entries.end()) {
        return;
    }
    const auto sent = ::send(found->socket, &next_byte, 1, MSG_DONTWAIT | MSG_NOSIGNAL);
    found->is_reset = sent < 0 && errno != EAGAIN;
}

close_state closing_sockets::check(std::string_view local_address)
{
    const auto found = find(local_address);
    if (found == m_entries.end()) {
        return close_state::closed;
    }
    auto state = close_state::pending;
    if (found->is_reset || has_error(found->socket)) {
        state = close_state::reset;
    }
    else if (--found->checks_left <= 0 || !has_unacknowledged(found->socket)) {
        state = close_state::closed;
    }
    if (state != close_state::pending) {
        ::close(found->socket);
        m_entries.erase(found);
    }
    return state;
}

void closing_sockets::close_others(const std::vector<std::string>& local_addresses)
{
    std::erase_if(m_entries, [&](const entry& one) {
        const bool is_kept = std::find(local_addresses.begin(), local_addresses.end(),
                                       one.local_address) != local_addresses.end();
        if (!is_kept) {
            ::close(one.socket);
        }
        return !is_kept;
    });
}

} // namespace chicorylink::platform
