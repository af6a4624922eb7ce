#include "chicorylink/front/endpoint.hpp"

#include <charconv>
#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace chicorylink::front {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    // The library's parser reads up to the first null character.
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code problem;
    const auto address = boost::asio::ip::make_address(std::string{text.substr(0, colon)}, problem);
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (problem || bad != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{address, port};
}

} // namespace chicorylink::front
