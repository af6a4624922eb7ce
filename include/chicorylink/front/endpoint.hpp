#ifndef CHICORYLINK_FRONT_ENDPOINT_HPP
#define CHICORYLINK_FRONT_ENDPOINT_HPP

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::front {

/// @brief Parses `IP:port`.
/// @return None when the text has another form or the port is 0.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ENDPOINT_HPP
