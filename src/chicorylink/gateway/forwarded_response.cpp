#include "chicorylink/gateway/forwarded_response.hpp"

#include "chicorylink/gateway/codec.hpp"
#include "chicorylink/gateway/target_response.hpp"

#include <string_view>
#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_head_bytes = 64UL * 1024;
constexpr unsigned bits_per_byte = 8;

std::size_t read_length(std::span<const std::uint8_t> bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        length |= static_cast<std::size_t>(bytes[i]) << (bits_per_byte * i);
    }
    return length;
}

bool use_head(active_request& entry, std::span<const std::uint8_t> bytes)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(head, decode_response_head(bytes));
            entry.status = head.status;
            entry.response_headers = head.headers;
            entry.response_is_stream = head.stream;
            if (head.stream) {
                dispatch::apply(entry.current_attempt, dispatch::attempt_event::response_begun);
            }
            entry.forwarded_head = std::move(head);
            return true;
        },
        [] { return false; });
}

bool take_body(active_request& entry, std::span<const std::uint8_t> bytes, std::size_t max_bytes)
{
    if (bytes.empty()) {
        return true;
    }
    const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    return take_piece(entry, text, max_bytes);
}

} // namespace

bool take_forwarded_bytes(active_request& entry, std::span<const std::uint8_t> bytes,
                          std::size_t max_bytes)
{
    if (entry.forwarded_head) {
        return take_body(entry, bytes, max_bytes);
    }
    auto& partial = entry.partial_head;
    partial.insert(partial.end(), bytes.begin(), bytes.end());
    if (partial.size() < length_bytes) {
        return true;
    }
    const auto length = read_length(partial);
    if (length > max_head_bytes) {
        return false;
    }
    if (partial.size() < length_bytes + length) {
        return true;
    }
    const auto head = std::span(std::as_const(partial)).subspan(length_bytes, length);
    if (!use_head(entry, head)) {
        return false;
    }
    return take_body(entry, std::span(std::as_const(partial)).subspan(length_bytes + length),
                     max_bytes);
}

bool is_forwarded_response_complete(const active_request& entry)
{
    if (!entry.forwarded_head) {
        return false;
    }
    if (entry.response_is_stream) {
        return entry.stream_complete && !entry.events.has_partial();
    }
    return entry.response_body.size() == entry.forwarded_head->body_bytes;
}

} // namespace chicorylink::gateway
