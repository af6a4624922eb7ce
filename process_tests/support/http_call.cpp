#include "http_call.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <thread>

#include <curl/curl.h>

namespace chicorylink::process_tests {
namespace {

constexpr int max_tries = 300;
constexpr std::chrono::milliseconds try_interval{100};

struct receiver {
    reply* response = nullptr;
    const call* request = nullptr;
};

std::size_t take_header(char* data, std::size_t size, std::size_t count, void* self)
{
    std::string line(data, size * count);
    while (!line.empty() && std::isspace(static_cast<unsigned char>(line.back())) != 0) {
        line.pop_back();
    }
    const auto colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        static_cast<receiver*>(self)->response->headers.emplace_back(name, line.substr(colon + 2));
    }
    return size * count;
}

std::size_t take_body(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& to = *static_cast<receiver*>(self);
    const std::string piece(data, size * count);
    if (!to.request->discard_body) {
        to.response->body += piece;
    }
    if (to.request->on_data && !to.request->on_data(piece)) {
        return 0;
    }
    return size * count;
}

} // namespace

std::string reply::header(const std::string& lower_case_name) const
{
    for (const auto& [name, value] : headers) {
        if (name == lower_case_name) {
            return value;
        }
    }
    return {};
}

nlohmann::json reply::json() const
{
    return nlohmann::json::parse(body, nullptr, false);
}

std::string reply::refusal() const
{
    const auto parsed = json();
    if (!parsed.is_object() || !parsed.contains("error") || !parsed["error"].is_object()) {
        return {};
    }
    return parsed["error"].value("kind", "");
}

reply perform(const call& request)
{
    connection client;
    return client.perform(request);
}

reply perform_when_admitted(const call& request)
{
    auto response = perform(request);
    for (int tries = 0; tries < max_tries; ++tries) {
        const auto kind = response.refusal();
        if (kind != "rate_exceeded" && kind != "not_ready") {
            break;
        }
        std::this_thread::sleep_for(try_interval);
        response = perform(request);
    }
    return response;
}

connection::connection() : m_handle(curl_easy_init()) {}

connection::~connection()
{
    curl_easy_cleanup(m_handle);
}

reply connection::perform(const call& request)
{
    reply response;
    receiver to{&response, &request};
    curl_easy_reset(m_handle);
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, request.timeout_ms);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, &to);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &to);
    if (request.method == "POST") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& header : request.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, headers);
    const CURLcode code = curl_easy_perform(m_handle);
    long status = 0;
    long opened = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(m_handle, CURLINFO_NUM_CONNECTS, &opened);
    curl_slist_free_all(headers);
    m_opened += opened;
    response.status = static_cast<int>(status);
    response.complete = code == CURLE_OK;
    return response;
}

} // namespace chicorylink::process_tests
