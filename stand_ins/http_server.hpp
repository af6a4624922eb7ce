#ifndef CHICORYLINK_STAND_INS_HTTP_SERVER_HPP
#define CHICORYLINK_STAND_INS_HTTP_SERVER_HPP

#include "stand_ins/http_request.hpp"
#include "stand_ins/http_response.hpp"

#include <functional>
#include <string>

struct MHD_Daemon;

namespace chicorylink::stand_ins {

/// @brief Callbacks of a server. They run on the thread of their connection and may block.
struct http_handlers {
    /// Called with the complete request.
    std::function<http_response(const http_request&)> respond;
    /// Called before the body is read; optional. Blocking in it delays the reading.
    std::function<void(const http_request&)> before_body;
};

/// @brief A small HTTP/1.1 server with one thread per connection.
class http_server {
public:
    /// @brief Starts listening.
    /// @param listen `IPv4:port`; port 0 takes a free one.
    /// @throws std::runtime_error when the address can't be listened on.
    http_server(const std::string& listen, http_handlers handlers);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief `IP:port` with the actual port.
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    http_handlers m_handlers;
    std::string m_address;
    MHD_Daemon* m_daemon = nullptr;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_HTTP_SERVER_HPP
