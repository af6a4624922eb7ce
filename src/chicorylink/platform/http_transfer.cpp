#include "chicorylink/platform/http_transfer.hpp"

#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace chicorylink::platform {
namespace {

constexpr long connect_timeout_ms = 1'000;
constexpr int first_final_status = 200;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_blank(char letter)
{
    return letter == ' ' || letter == '\t';
}

} // namespace

http_transfer::http_transfer(transfer_id id, http_request request, http_handlers handlers)
    : m_id(id), m_request(std::move(request)), m_handlers(std::move(handlers)),
      m_handle(curl_easy_init())
{
    set_options();
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
    return transfer.add_header_line({data, size * count}) ? size * count : 0;
}

bool http_transfer::add_header_line(std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        m_response_headers.clear();
        return true;
    }
    const auto text = trim(line);
    if (text.empty()) {
        return report_head();
    }
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return true;
    }
    const auto name = text.substr(0, colon);
    if (is_blank(line.front()) || name.empty() || is_blank(name.back())) {
        // A folded line, or a blank before the colon: parsers differ in how they read it.
        m_ambiguous_head = true;
        return false;
    }
    m_response_headers.emplace_back(base::lower_case(name),
                                    std::string(trim(text.substr(colon + 1))));
    return true;
}

bool http_transfer::report_head()
{
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    if (status < first_final_status || m_head_reported) {
        return true;
    }
    if (has_multiple_lengths(m_response_headers)) {
        m_ambiguous_head = true;
        return false;
    }
    m_head_reported = true;
    if (m_handlers.on_head) {
        m_handlers.on_head(static_cast<int>(status), m_response_headers);
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
    return piece.size();
}

int http_transfer::on_prerequest(void* self, char* /*remote*/, char* /*local*/, int /*remote_port*/,
                                 int /*local_port*/)
{
    auto& transfer = *static_cast<http_transfer*>(self);
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

http_end_kind http_transfer::end_kind(CURLcode code) const
{
    if (code == CURLE_OK) {
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
        const char* detail = m_ambiguous_head ? "the head of the answer leaves its end in doubt"
                                              : curl_easy_strerror(code);
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
