#ifndef CHICORYLINK_PLATFORM_HTTP_TRANSFER_HPP
#define CHICORYLINK_PLATFORM_HTTP_TRANSFER_HPP

#include "chicorylink/platform/head_reader.hpp"
#include "chicorylink/platform/http_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <curl/curl.h>

namespace chicorylink::platform {

class closing_sockets;

/// @brief One call in progress: the libcurl handle and what its callbacks need.
class http_transfer {
public:
    /// @param sockets Takes the sockets that libcurl closes; outlives all connections.
    http_transfer(transfer_id id, http_request request, http_handlers handlers,
                  closing_sockets& sockets);
    ~http_transfer();
    http_transfer(const http_transfer&) = delete;
    http_transfer& operator=(const http_transfer&) = delete;
    http_transfer(http_transfer&&) = delete;
    http_transfer& operator=(http_transfer&&) = delete;

    [[nodiscard]] transfer_id id() const { return m_id; }
    [[nodiscard]] CURL* handle() const { return m_handle; }

    /// @brief Whether only the remote end's close says that the response is whole.
    [[nodiscard]] bool ends_with_connection(CURLcode code) const;

    /// @brief The next byte of the body that was not sent; empty if there is none.
    [[nodiscard]] std::optional<char> next_byte() const;

    /// @brief The local address of the latest connection, `IP:port`.
    [[nodiscard]] const std::string& local_address() const { return m_local_address; }

    /// @brief Reports the end of the call to its handlers.
    void finish(CURLcode code);

    /// @brief Reports that the call was cancelled.
    void finish_cancelled();

private:
    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
    static int on_prerequest(void* self, char* remote, char* local, int remote_port,
                             int local_port);

    void set_options();
    /// @brief Returns false when the head is malformed and the call must be aborted.
    [[nodiscard]] bool read_head(std::string_view line);
    [[nodiscard]] bool has_whole_response(CURLcode code) const;
    [[nodiscard]] http_end_kind end_kind(CURLcode code) const;

    transfer_id m_id;
    http_request m_request;
    http_handlers m_handlers;
    CURL* m_handle;
    curl_slist* m_header_lines = nullptr;
    head_reader m_head;
    curl_off_t m_body_bytes = 0;
    std::string m_local_address;
    bool m_possibly_sent = false;
    bool m_stopped = false;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_TRANSFER_HPP
