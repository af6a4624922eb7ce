#ifndef CHICORYLINK_PLATFORM_HEADER_LIST_HPP
#define CHICORYLINK_PLATFORM_HEADER_LIST_HPP

#include <string>
#include <utility>
#include <vector>

namespace chicorylink::platform {

/// @brief Header fields in the order in which they are sent; names in any case.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Whether more than one Content-Length or Transfer-Encoding field delimits the body.
/// @param headers Header fields with names in lower case.
[[nodiscard]] bool has_multiple_lengths(const header_list& headers);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HEADER_LIST_HPP
