#include "chicorylink/gateway/chat_request.hpp"
#include "chicorylink/gateway/codec.hpp"
#include "chicorylink/gateway/credentials.hpp"
#include "chicorylink/gateway/sse_splitter.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>

// Parses input of callers, engines and peers: bodies, header fields, queries, events and forwarded
// requests.

namespace {

namespace gateway = chicorylink::gateway;
namespace base = chicorylink::base;

constexpr base::tokens default_bound{100};

void read_body(std::string_view text)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(request, gateway::parse_chat_request(text, default_bound));
            if (request.answer_bound.value() <= 0 || request.opening > request.messages.size()) {
                std::abort();
            }
            return {};
        },
        [] {});
}

/// A key found in a request must never be part of what a target receives.
void read_credentials(std::string_view text)
{
    gateway::caller_request request;
    const auto half = text.size() / 2;
    request.query = text.substr(0, half);
    request.headers = {{"authorization", "Bearer " + std::string(text.substr(half))},
                       {"accept", std::string(text.substr(0, half))}};
    const auto keys = gateway::presented_keys(request);
    const auto query = gateway::target_query(request.query, keys);
    for (const auto& [name, value] : gateway::target_headers(request.headers, keys)) {
        if (gateway::contains_key(value, keys)) {
            std::abort();
        }
    }
    for (const auto& key : keys) {
        const bool spans_parameters = key.find('&') != std::string::npos;
        if (!spans_parameters && query.find(key) != std::string::npos) {
            std::abort();
        }
    }
}

void read_events(std::string_view text)
{
    gateway::sse_splitter splitter;
    const auto half = text.size() / 2;
    for (const auto piece : {text.substr(0, half), text.substr(half)}) {
        for (const auto& event : splitter.feed(piece)) {
            static_cast<void>(gateway::read_chat_event(event));
        }
    }
}

void read_forwarded(std::span<const std::uint8_t> bytes)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, gateway::decode_forwarded_request(bytes));
            if (message.hop != 1) {
                std::abort();
            }
            return {};
        },
        [] {});
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_CHECK(gateway::decode_response_head(bytes));
            return {};
        },
        [] {});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    read_body(text);
    read_credentials(text);
    read_events(text);
    read_forwarded({data, size});
    return 0;
}
