#include "programs/chicorylink/http_client.hpp"

#include "chicorylink/platform/head_reader.hpp"

#include <array>
#include <cstddef>
#include <memory>

#include <curl/curl.h>

namespace chicorylink::cli {
namespace {

constexpr long connect_timeout_ms = 3'000;
constexpr long call_timeout_ms = 15'000;
constexpr std::size_t body_size_limit = 64'000'000;

/// libcurl write callback; returning fewer bytes than received ends the call with an error.
std::size_t append_body(char* data, std::size_t size, std::size_t count, void* body)
{
    auto& text = *static_cast<std::string*>(body);
    if (text.size() + size * count > body_size_limit) {
        return 0;
    }
    text.append(data, size * count);
    return size * count;
}

} // namespace

http_result http_call(const std::string& method, const std::string& url)
{
    http_result result;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(),
                                                                     &curl_easy_cleanup);
    platform::head_reader head;
    std::array<char, CURL_ERROR_SIZE> failure{};
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, call_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_ERRORBUFFER, failure.data());
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, &platform::read_head_line);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &head);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &result.body);
    if (method == "POST") {
        curl_easy_setopt(handle.get(), CURLOPT_POST, 1L);
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, 0L);
    }
    const auto outcome = curl_easy_perform(handle.get());
    if (head.is_malformed() || (outcome == CURLE_OK && !head.is_complete())) {
        result.failure = "the head of the response is malformed";
        return result;
    }
    if (outcome != CURLE_OK) {
        result.failure = failure[0] != '\0' ? failure.data() : curl_easy_strerror(outcome);
        return result;
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &result.status);
    return result;
}

} // namespace chicorylink::cli
