#include "chicorylink/gateway/control_channel.hpp"

namespace chicorylink::gateway {
namespace {

constexpr std::size_t process_id_bytes = sizeof(std::uint64_t);
constexpr unsigned bits_per_byte = 8;

} // namespace

std::vector<std::uint8_t> wrap_control(base::incarnation process,
                                       std::span<const std::uint8_t> content)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(process_id_bytes + content.size());
    for (std::size_t i = 0; i < process_id_bytes; ++i) {
        bytes.push_back(static_cast<std::uint8_t>(process.value() >> (bits_per_byte * i)));
    }
    bytes.insert(bytes.end(), content.begin(), content.end());
    return bytes;
}

std::optional<control_message> unwrap_control(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < process_id_bytes) {
        return std::nullopt;
    }
    std::uint64_t process = 0;
    for (std::size_t i = 0; i < process_id_bytes; ++i) {
        process |= static_cast<std::uint64_t>(bytes[i]) << (bits_per_byte * i);
    }
    return control_message{base::incarnation{process}, bytes.subspan(process_id_bytes)};
}

} // namespace chicorylink::gateway
