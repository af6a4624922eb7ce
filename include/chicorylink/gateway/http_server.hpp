#ifndef CHICORYLINK_GATEWAY_HTTP_SERVER_HPP
#define CHICORYLINK_GATEWAY_HTTP_SERVER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/gateway/exchange.hpp"
#include "chicorylink/gateway/http_answer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicorylink::gateway {

/// @brief Bounds and addresses of one HTTP listener.
struct http_server_settings {
    /// `IP:port`; port 0 takes a free one.
    std::string listen;
    std::size_t max_body_bytes = 1024UL * 1024;
    std::size_t max_header_bytes = 32UL * 1024;
    unsigned max_connections = 4'000;
    /// Connections on which nothing moves are closed after this time, in seconds.
    unsigned idle_seconds = 30;
    /// The longest time that a request's headers and body may take to arrive, in seconds.
    unsigned read_seconds = 20;
    unsigned threads = 2;
    /// PEM texts; TLS is on when both are set.
    std::string certificate;
    std::string private_key;
};

/// @brief What the server asks of its owner; called on the server's threads.
struct http_server_handlers {
    /// Decides on the headers alone, before the body is read: an answer here ends the request.
    std::function<std::optional<http_answer>(const caller_request& head)> on_head;
    /// A whole request has arrived; the answer is given through the exchange, now or later.
    std::function<void(const std::shared_ptr<exchange>& request)> on_request;
    /// The connection is done with: completed, broken, or left by the caller.
    std::function<void(const std::shared_ptr<exchange>& request, bool completed)> on_done;
    /// A request that was refused by the server itself; the reason is a stable name.
    std::function<void(const char* reason)> on_bad_input;
};

/// @brief An HTTP/1.1 listener by libmicrohttpd; no thread waits for a stream.
class http_server {
public:
    /// @brief Starts to listen.
    /// @return An `invalid_setting` error when the address can't be used.
    [[nodiscard]] static base::result<std::unique_ptr<http_server>>
    start(http_server_settings settings, http_server_handlers handlers);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Requests whose connection is open.
    [[nodiscard]] std::size_t open_requests() const;

    /// @brief Finds callers that closed their connection while it was suspended, and reports each
    /// to `on_done`. To be called several times a second.
    void find_closed_callers();

    /// @brief Takes a new certificate and key; connections that are open keep the old ones.
    [[nodiscard]] base::result<void> reload_tls(std::string certificate, std::string private_key);

    /// @brief Accepts no more connections; open ones go on.
    void stop_listening();

private:
    class implementation;
    explicit http_server(std::unique_ptr<implementation> made);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_SERVER_HPP
