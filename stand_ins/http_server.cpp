#include "stand_ins/http_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <microhttpd.h>

namespace chicorylink::stand_ins {
namespace {

constexpr std::size_t stream_block_size = 16'384;
constexpr unsigned int connection_limit = 4000;

/// One request in progress: filled by callbacks of the library, freed on completion.
struct exchange {
    http_request request;
    http_response response;
    std::string pending;
    std::size_t position = 0;
    bool answered = false;
};

MHD_Result collect_field(void* fields, MHD_ValueKind /*kind*/, const char* key, const char* value)
{
    static_cast<http_request::fields*>(fields)->emplace_back(key, value == nullptr ? "" : value);
    return MHD_YES;
}

std::unique_ptr<exchange> start_exchange(MHD_Connection* connection, const char* url,
                                         const char* method)
{
    auto started = std::make_unique<exchange>();
    auto& request = started->request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_field, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect_field, &request.query);
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    request.socket = info == nullptr ? -1 : info->connect_fd;
    return started;
}

/// Passes the next bytes of a streamed response to the library.
ssize_t read_stream(void* context, std::uint64_t /*position*/, char* buffer, std::size_t size)
{
    auto& current = *static_cast<exchange*>(context);
    while (current.position == current.pending.size()) {
        auto piece = current.response.next_chunk();
        if (!piece) {
            const bool is_broken = current.response.broken && *current.response.broken;
            return is_broken ? MHD_CONTENT_READER_END_WITH_ERROR : MHD_CONTENT_READER_END_OF_STREAM;
        }
        current.pending = std::move(*piece);
        current.position = 0;
    }
    const auto count = std::min(size, current.pending.size() - current.position);
    std::copy_n(current.pending.data() + current.position, count, buffer);
    current.position += count;
    return static_cast<ssize_t>(count);
}

/// Passes the bytes of a truncated response to the library.
ssize_t read_truncated_body(void* context, std::uint64_t position, char* buffer, std::size_t size)
{
    const auto& response = static_cast<exchange*>(context)->response;
    const auto end = std::min(*response.truncate_after, response.body.size());
    if (position >= end) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto count = std::min<std::size_t>(size, end - position);
    std::copy_n(response.body.data() + position, count, buffer);
    return static_cast<ssize_t>(count);
}

MHD_Response* make_response(exchange& current)
{
    const auto& response = current.response;
    if (response.next_chunk) {
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, stream_block_size, &read_stream,
                                                 &current, nullptr);
    }
    if (response.truncate_after) {
        return MHD_create_response_from_callback(response.body.size(), stream_block_size,
                                                 &read_truncated_body, &current, nullptr);
    }
    // The library needs a pointer to mutable bytes but does not write to them.
    return MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_PERSISTENT);
}

MHD_Result send_response(MHD_Connection* connection, exchange& current)
{
    if (current.response.drop) {
        return MHD_NO;
    }
    auto* const response = make_response(current);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            current.response.content_type.c_str());
    for (const auto& [name, value] : current.response.headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    const auto queued = MHD_queue_response(
        connection, static_cast<unsigned int>(current.response.status), response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Result handle_request(void* context, MHD_Connection* connection, const char* url,
                          const char* method, const char* /*version*/, const char* upload,
                          std::size_t* upload_size, void** state)
{
    const auto& handlers = *static_cast<const http_handlers*>(context);
    if (*state == nullptr) {
        auto started = start_exchange(connection, url, method);
        if (handlers.before_body) {
            handlers.before_body(started->request);
        }
        *state = started.release();
        return MHD_YES;
    }
    auto& current = *static_cast<exchange*>(*state);
    if (*upload_size > 0) {
        current.request.body.append(upload, *upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (current.answered) {
        return MHD_YES;
    }
    current.answered = true;
    current.response = handlers.respond(current.request);
    return send_response(connection, current);
}

void complete_request(void* /*context*/, MHD_Connection* /*connection*/, void** state,
                      MHD_RequestTerminationCode code)
{
    const std::unique_ptr<exchange> current(static_cast<exchange*>(*state));
    *state = nullptr;
    if (current && current->response.on_finished) {
        current->response.on_finished(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
}

sockaddr_in read_listen_address(const std::string& listen)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = listen.rfind(':');
    if (colon == std::string::npos ||
        inet_pton(AF_INET, listen.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error(fmt::format("'{}' is not an IPv4:port address", listen));
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(listen.substr(colon + 1))));
    return address;
}

} // namespace

http_server::http_server(const std::string& listen, http_handlers handlers)
    : m_handlers(std::move(handlers))
{
    const auto address = read_listen_address(listen);
    m_daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, nullptr,
        nullptr, &handle_request, &m_handlers, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, &complete_request, nullptr, MHD_OPTION_CONNECTION_LIMIT,
        connection_limit, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw std::runtime_error(fmt::format("can't listen on '{}'", listen));
    }
    const auto* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    m_address = fmt::format("{}:{}", listen.substr(0, listen.rfind(':')), info->port);
}

http_server::~http_server()
{
    MHD_stop_daemon(m_daemon);
}

} // namespace chicorylink::stand_ins
