#ifndef CHICORYLINK_FRONT_ENDPOINT_HPP
#define CHICORYLINK_FRONT_ENDPOINT_HPP

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::front {

/// @brief Reads `IP:port`; none when the text is anything else.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ENDPOINT_HPP
