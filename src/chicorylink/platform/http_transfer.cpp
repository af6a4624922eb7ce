#include "chicorylink/platform/http_transfer.hpp"

#include "chicorylink/base/text.hpp"
#include "chicorylink/platform/closing_sockets.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::platform {
namespace {

constexpr long connect_timeout_ms = 1'000;

} // namespace

http_transfer::http_transfer(transfer_id id, http_request request, http_handlers handlers,
                             closing_sockets& sockets)
    : m_id(id), m_request(std::move(request)), m_handlers(std::move(handlers)),
      m_handle(curl_easy_init())
{
    set_options();
    curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETFUNCTION, &closing_sockets::on_close);
    curl_easy_setopt(m_handle, CURLOPT_CLOSESOCKETDATA, &sockets);
}

http_transfer::~http_transfer()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_header_lines);
}

void http_transfer::set_options()
{
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(m_handle, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &http_transfer::on_header);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &http_transfer::on_body);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &http_transfer::on_prerequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    if (m_request.method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    }
    if (!m_request.body.empty() || m_request.method == "POST") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_request.body.data());
    }
    if (!m_request.retryable) {
        curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(m_handle, CURLOPT_FORBID_REUSE, 1L);
    }
    m_header_lines = curl_slist_append(m_header_lines, "Expect:");
    const bool has_content_type =
        std::any_of(m_request.headers.begin(), m_request.headers.end(), [](const auto& field) {
            return base::lower_case(field.first) == "content-type";
        });
    if (!has_content_type) {
        // libcurl would otherwise send the body of a POST with the content type of a form.
        m_header_lines = curl_slist_append(m_header_lines, "Content-Type:");
    }
    for (const auto& [name, value] : m_request.headers) {
        std::string line = name;
        line.append(": ").append(value);
        m_header_lines = curl_slist_append(m_header_lines, line.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_header_lines);
}

std::size_t http_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    // A count below the line's length makes libcurl abort the call.
    return transfer.read_head({data, size * count}) ? size * count : 0;
}

bool http_transfer::read_head(std::string_view line)
{
    const bool was_complete = m_head.is_complete();
    if (!m_head.add_line(line)) {
        return false;
    }
    if (m_head.is_complete() && !was_complete && m_handlers.on_head) {
        m_handlers.on_head(m_head.status(), m_head.fields());
    }
    return true;
}

std::size_t http_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    const std::string_view piece{data, size * count};
    if (transfer.m_handlers.on_data && !transfer.m_handlers.on_data(piece)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.m_body_bytes += static_cast<curl_off_t>(piece.size());
    return piece.size();
}

int http_transfer::on_prerequest(void* self, char* /*remote*/, char* local, int /*remote_port*/,
                                 int local_port)
{
    auto& transfer = *static_cast<http_transfer*>(self);
    transfer.m_local_address = fmt::format("{}:{}", local, local_port);
    const bool is_resend = transfer.m_possibly_sent;
    if (is_resend && !transfer.m_request.retryable) {
        transfer.m_stopped = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.m_handlers.on_sending && !transfer.m_handlers.on_sending()) {
        transfer.m_stopped = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.m_possibly_sent = true;
    return CURL_PREREQFUNC_OK;
}

bool http_transfer::ends_with_connection(CURLcode code) const
{
    const auto& fields = m_head.fields();
    const bool has_length = std::any_of(fields.begin(), fields.end(), [](const auto& field) {
        return field.first == "content-length" || field.first == "transfer-encoding";
    });
    // TLS has an end of its own.
    return code == CURLE_OK && !has_length && m_request.url.starts_with("http://");
}

std::optional<char> http_transfer::next_byte() const
{
    curl_off_t sent = 0;
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &sent);
    const auto offset = static_cast<std::size_t>(sent);
    return offset < m_request.body.size() ? std::optional{m_request.body[offset]} : std::nullopt;
}

bool http_transfer::has_whole_response(CURLcode code) const
{
    curl_off_t length = -1;
    curl_easy_getinfo(m_handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    // A server may reset the connection behind a response that it sent before it read the request.
    const bool is_whole = code == CURLE_OK || (code == CURLE_SEND_ERROR && m_body_bytes == length);
    return is_whole && m_head.is_complete();
}

http_end_kind http_transfer::end_kind(CURLcode code) const
{
    if (has_whole_response(code)) {
        return http_end_kind::complete;
    }
    if (m_stopped) {
        return http_end_kind::cancelled;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return m_possibly_sent ? http_end_kind::timed_out : http_end_kind::not_connected;
    }
    if (m_possibly_sent) {
        return http_end_kind::broken;
    }
    long os_error = 0;
    curl_easy_getinfo(m_handle, CURLINFO_OS_ERRNO, &os_error);
    return os_error == ECONNREFUSED ? http_end_kind::refused : http_end_kind::not_connected;
}

void http_transfer::finish(CURLcode code)
{
    if (m_handlers.on_end) {
        const bool is_malformed =
            m_head.is_malformed() || (code == CURLE_OK && !m_head.is_complete());
        const char* detail =
            is_malformed ? "the head of the answer is malformed" : curl_easy_strerror(code);
        m_handlers.on_end({end_kind(code), m_possibly_sent, detail});
    }
}

void http_transfer::finish_cancelled()
{
    if (m_handlers.on_end) {
        m_handlers.on_end({http_end_kind::cancelled, m_possibly_sent, "cancelled"});
    }
}

} // namespace chicorylink::platform
