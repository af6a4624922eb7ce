#include "chicorylink/wire/socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>

#include <fmt/format.h>

namespace chicorylink::wire {
namespace {

constexpr int listen_backlog = 256;

/// Unsent bytes in the kernel at which a socket stops being writable. The limit leaves the order
/// of frames to the scheduler.
constexpr int unsent_bytes = 64 * 1024;

void set_option(const file_descriptor& socket, int level, int name, int value)
{
    ::setsockopt(socket.get(), level, name, &value, sizeof(value));
}

void tune(const file_descriptor& socket)
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_bytes);
}

base::leaf::error_id bad_address(const std::string& text)
{
    return base::fail(base::error_kind::invalid_setting,
                      fmt::format("'{}' is not an address", text),
                      "write it as IP:port, such as 127.0.0.1:9081 or [::1]:9081");
}

base::leaf::error_id system_failure(const std::string& operation, int number)
{
    return base::fail(base::error_kind::io, fmt::format("{}: {}", operation, std::strerror(number)),
                      "choose an address of this machine and a free port");
}

} // namespace

base::result<socket_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return bad_address(text);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return bad_address(text);
    }
    auto host = text.substr(0, colon);
    socket_address address;
    auto* const v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (::inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        address.length = sizeof(sockaddr_in);
        return address;
    }
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    auto* const v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (::inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) != 1) {
        return bad_address(text);
    }
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.length = sizeof(sockaddr_in6);
    return address;
}

base::result<file_descriptor> listen_on(const std::string& address)
{
    BOOST_LEAF_AUTO(parsed, parse_address(address));
    file_descriptor socket{
        ::socket(parsed.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!socket.valid()) {
        return system_failure("can't make a socket", errno);
    }
    set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto* const raw = reinterpret_cast<const sockaddr*>(&parsed.storage);
    if (::bind(socket.get(), raw, parsed.length) != 0) {
        return system_failure(fmt::format("can't bind the peer address {}", address), errno);
    }
    if (::listen(socket.get(), listen_backlog) != 0) {
        return system_failure(fmt::format("can't listen on {}", address), errno);
    }
    return socket;
}

std::string bound_address(const file_descriptor& socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto* const v4 = reinterpret_cast<const sockaddr_in*>(&storage);
        ::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        return fmt::format("{}:{}", text.data(), ntohs(v4->sin_port));
    }
    const auto* const v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    return fmt::format("[{}]:{}", text.data(), ntohs(v6->sin6_port));
}

connect_attempt connect_to(const socket_address& address)
{
    connect_attempt attempt;
    attempt.socket = file_descriptor{
        ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!attempt.socket.valid()) {
        attempt.failure = errno;
        return attempt;
    }
    tune(attempt.socket);
    const auto* const raw = reinterpret_cast<const sockaddr*>(&address.storage);
    if (::connect(attempt.socket.get(), raw, address.length) != 0 && errno != EINPROGRESS) {
        attempt.failure = errno;
    }
    return attempt;
}

file_descriptor accept_from(const file_descriptor& listener)
{
    file_descriptor socket{
        ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (socket.valid()) {
        tune(socket);
    }
    return socket;
}

int connect_error(const file_descriptor& socket)
{
    int number = 0;
    socklen_t length = sizeof(number);
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &number, &length);
    return number;
}

} // namespace chicorylink::wire
