#ifndef CHICORYLINK_STAND_INS_HTTP_REQUEST_HPP
#define CHICORYLINK_STAND_INS_HTTP_REQUEST_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicorylink::stand_ins {

/// @brief A received HTTP request.
struct http_request {
    using fields = std::vector<std::pair<std::string, std::string>>;

    std::string method;
    std::string path;
    /// Decoded query arguments.
    fields query;
    /// Header names keep the case in which they were sent.
    fields headers;
    std::string body;
    /// The connection's socket, used to detect that the client closed it.
    int socket = -1;

    /// @brief The first header with a name (case-insensitive); empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// @brief The first query argument with a name; empty when there is none.
    [[nodiscard]] std::string_view argument(std::string_view name) const;

    /// @brief Whether the client has closed its side of the connection.
    [[nodiscard]] bool client_closed() const;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_HTTP_REQUEST_HPP
