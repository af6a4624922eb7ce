#include "stand_ins/http_request.hpp"
#include "stand_ins/http_response.hpp"

#include <strings.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {

std::string_view http_request::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string_view http_request::argument(std::string_view name) const
{
    for (const auto& [key, value] : query) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

bool http_request::client_closed() const
{
    char byte = 0;
    return socket >= 0 && recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

http_response json_response(int status, const nlohmann::json& value)
{
    http_response response;
    response.status = status;
    response.body = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

http_response error_response(int status, const std::string& message)
{
    return json_response(status, {{"error", message}});
}

} // namespace chicorylink::stand_ins
