#include "chicorylink/rules/address.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr std::uint32_t ipv4_multicast_start = 0xE0000000;

std::optional<std::uint16_t> read_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc{} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

/// Multicast, reserved and broadcast addresses are at the end of the IPv4 range.
bool is_unicast(const in_addr& address)
{
    const auto bits = ntohl(address.s_addr);
    return bits != 0 && bits < ipv4_multicast_start;
}

std::optional<std::string> ipv4_text(const in_addr& address)
{
    if (!is_unicast(address)) {
        return std::nullopt;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    return std::string(inet_ntop(AF_INET, &address, text.data(), text.size()));
}

std::optional<std::string> ipv6_text(const in6_addr& address)
{
    if (IN6_IS_ADDR_V4MAPPED(&address)) {
        in_addr mapped{};
        std::memcpy(&mapped, &address.s6_addr[12], sizeof(mapped));
        return ipv4_text(mapped);
    }
    if (IN6_IS_ADDR_UNSPECIFIED(&address) || IN6_IS_ADDR_MULTICAST(&address)) {
        return std::nullopt;
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    return fmt::format("[{}]", inet_ntop(AF_INET6, &address, text.data(), text.size()));
}

std::optional<std::string> host_text(std::string_view host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        in6_addr address{};
        const std::string inner(host.substr(1, host.size() - 2));
        return inet_pton(AF_INET6, inner.c_str(), &address) == 1 ? ipv6_text(address)
                                                                 : std::nullopt;
    }
    in_addr address{};
    return inet_pton(AF_INET, std::string(host).c_str(), &address) == 1 ? ipv4_text(address)
                                                                        : std::nullopt;
}

} // namespace

std::optional<std::string> canonical_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto host = host_text(text.substr(0, colon));
    const auto port = read_port(text.substr(colon + 1));
    if (!host || !port) {
        return std::nullopt;
    }
    return fmt::format("{}:{}", *host, *port);
}

} // namespace chicorylink::rules
