#include "chicorylink/gateway/http_call.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

MHD_Result add_field(void* fields, MHD_ValueKind /*kind*/, const char* name, const char* value)
{
    static_cast<header_list*>(fields)->emplace_back(base::lower_case(name), value ? value : "");
    return MHD_YES;
}

/// Hash of the client's address, without the port.
std::uint64_t hash_of_caller(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr == nullptr) {
        return 0;
    }
    if (info->client_addr->sa_family == AF_INET6) {
        const auto* address = reinterpret_cast<const sockaddr_in6*>(info->client_addr);
        return base::hash_name(
            {reinterpret_cast<const char*>(&address->sin6_addr), sizeof(address->sin6_addr)});
    }
    const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    return base::hash_name(
        {reinterpret_cast<const char*>(&address->sin_addr), sizeof(address->sin_addr)});
}

} // namespace

http_response too_large_response(std::size_t limit)
{
    const auto body = fmt::format(
        R"({{"error":{{"kind":"body_too_large","message":"the body is larger than {} bytes; send a shorter one"}}}})",
        limit);
    return {
        413, {{"Content-Type", "application/json"}, {"X-Chicorylink-Outcome", "not-run"}}, body};
}

http_response ambiguous_head_response()
{
    return {
        400,
        {{"Content-Type", "application/json"},
         {"X-Chicorylink-Outcome", "not-run"},
         {"Connection", "close"}},
        R"({"error":{"kind":"bad_request","message":"the head leaves the end of the body in doubt; send one Content-Length or one Transfer-Encoding, without folded lines"}})"};
}

bool has_ambiguous_length(const header_list& headers)
{
    const auto is_digit = [](unsigned char c) { return std::isdigit(c) != 0; };
    return platform::has_multiple_lengths(headers) ||
           std::any_of(headers.begin(), headers.end(), [&](const auto& field) {
               const auto& [name, value] = field;
               // The library treats a blank before the colon as part of the name.
               return name.find_first_of(" \t") != std::string::npos ||
                      (name == "content-length" &&
                       (value.empty() || !std::all_of(value.begin(), value.end(), is_digit)));
           });
}

bool is_closed_by_peer(int descriptor)
{
    char byte = 0;
    const auto count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::size_t content_length(const caller_request& request)
{
    const auto text = find_header(request.headers, "content-length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

void read_head(http_call& call, const char* method)
{
    auto& request = call.request->request();
    request.method = method;
    request.caller_hash = hash_of_caller(call.connection);
    MHD_get_connection_values(call.connection, MHD_HEADER_KIND, &add_field, &request.headers);
}

MHD_Result queue_response(MHD_Connection* connection, const http_response& response)
{
    // The library copies the body but takes a pointer to non-const data.
    void* body = const_cast<char*>(response.body.data());
    MHD_Response* mhd_response =
        MHD_create_response_from_buffer(response.body.size(), body, MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers) {
        MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
    }
    const auto queued =
        MHD_queue_response(connection, static_cast<unsigned>(response.status), mhd_response);
    MHD_destroy_response(mhd_response);
    return queued;
}

} // namespace chicorylink::gateway
