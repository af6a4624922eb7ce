#include "chicorylink/gateway/listen_socket.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netdb.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

constexpr int listen_backlog = 512;

base::leaf::error_id bad_address(std::string_view address, std::string_view reason)
{
    return base::fail(base::error_kind::invalid_setting,
                      fmt::format("can't listen on '{}': {}", address, reason),
                      "give an address of this VM as IP:port and a port that is free");
}

bool bind_and_listen(int descriptor, const addrinfo& address)
{
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return bind(descriptor, address.ai_addr, address.ai_addrlen) == 0 &&
           listen(descriptor, listen_backlog) == 0;
}

std::string_view strip_brackets(std::string_view host)
{
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        return host.substr(1, host.size() - 2);
    }
    return host;
}

} // namespace

base::result<int> open_listen_socket(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return bad_address(address, "there is no port");
    }
    const std::string host(strip_brackets(address.substr(0, colon)));
    const std::string port(address.substr(colon + 1));
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    addrinfo* found = nullptr;
    const int code = getaddrinfo(host.c_str(), port.c_str(), &hints, &found);
    if (code != 0) {
        return bad_address(address, gai_strerror(code));
    }
    const int descriptor = socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool listening = descriptor >= 0 && bind_and_listen(descriptor, *found);
    const int reason = errno;
    freeaddrinfo(found);
    if (!listening) {
        if (descriptor >= 0) {
            close(descriptor);
        }
        return bad_address(address, std::strerror(reason));
    }
    return descriptor;
}

std::uint16_t port_of_socket(int descriptor)
{
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
        return 0;
    }
    if (bound.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6&>(bound).sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in&>(bound).sin_port);
}

} // namespace chicorylink::gateway
