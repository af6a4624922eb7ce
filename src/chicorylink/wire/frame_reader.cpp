#include "chicorylink/wire/frame_reader.hpp"

#include "chicorylink/wire/frame_codec.hpp"

#include <fmt/format.h>

namespace chicorylink::wire {
namespace {

constexpr std::size_t bits_per_byte = 8;

std::size_t read_length(std::span<const std::uint8_t> bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_prefix_bytes; ++i) {
        length = (length << bits_per_byte) | bytes[i];
    }
    return length;
}

} // namespace

base::result<void>
frame_reader::read(std::span<const std::uint8_t> received,
                   const std::function<base::result<void>(std::span<const std::uint8_t>)>& on_frame)
{
    m_buffer.insert(m_buffer.end(), received.begin(), received.end());
    std::span<const std::uint8_t> rest{m_buffer};
    while (rest.size() >= length_prefix_bytes) {
        const auto length = read_length(rest);
        if (length > m_limit) {
            return base::fail(
                base::error_kind::invalid_message,
                fmt::format("a peer frame of {} bytes passes the limit of {}", length, m_limit),
                "use the same frame limit on all VMs");
        }
        if (rest.size() < length_prefix_bytes + length) {
            break;
        }
        BOOST_LEAF_CHECK(on_frame(rest.subspan(length_prefix_bytes, length)));
        rest = rest.subspan(length_prefix_bytes + length);
    }
    m_buffer.erase(m_buffer.begin(), m_buffer.end() - static_cast<std::ptrdiff_t>(rest.size()));
    return {};
}

} // namespace chicorylink::wire
