#ifndef CHICORYLINK_GATEWAY_HTTP_SERVER_HPP
#define CHICORYLINK_GATEWAY_HTTP_SERVER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/gateway/exchange.hpp"
#include "chicorylink/gateway/http_response.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicorylink::gateway {

/// @brief Address, limits and TLS material of one HTTP listener.
struct http_server_settings {
    /// `IP:port`; port 0 selects a free one.
    std::string listen;
    std::size_t max_body_bytes = 1024UL * 1024;
    std::size_t max_header_bytes = 32UL * 1024;
    unsigned max_connections = 4'000;
    /// Idle timeout of a connection, in seconds.
    unsigned idle_seconds = 30;
    /// Maximum time for a request's headers and body to arrive, in seconds.
    unsigned read_seconds = 20;
    unsigned threads = 2;
    /// PEM texts; TLS is used if both are set.
    std::string certificate;
    std::string private_key;
};

/// @brief Callbacks of the server, called on its threads.
struct http_server_handlers {
    /// Checks the headers before the body is read; a returned response ends the request.
    std::function<std::optional<http_response>(const caller_request& head)> on_head;
    /// A complete request arrived. The response is sent through the exchange, now or later.
    std::function<void(const std::shared_ptr<exchange>& request)> on_request;
    /// The request ended: completed, aborted, or closed by the caller.
    std::function<void(const std::shared_ptr<exchange>& request, bool completed)> on_done;
    /// The server itself refused a request; the reason is a stable name.
    std::function<void(const char* reason)> on_bad_input;
};

/// @brief HTTP/1.1 server on libmicrohttpd. No thread blocks on a stream.
class http_server {
public:
    /// @brief Starts listening.
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

    /// @brief Number of requests whose connection is open.
    [[nodiscard]] std::size_t open_requests() const;

    /// @brief Detects callers that closed their connection while it was suspended, and reports each
    /// to `on_done`. Call it several times a second.
    void find_closed_callers();

    /// @brief Uses a new certificate and key; open connections keep the old ones.
    [[nodiscard]] base::result<void> reload_tls(std::string certificate, std::string private_key);

    /// @brief Accepts no more connections; open ones continue.
    void stop_listening();

private:
    class implementation;
    explicit http_server(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_SERVER_HPP
