#ifndef CHICORYLINK_WIRE_FRAME_READER_HPP
#define CHICORYLINK_WIRE_FRAME_READER_HPP

#include "chicorylink/base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace chicorylink::wire {

/// @brief Splits a byte stream into frames by their length prefixes.
class frame_reader {
public:
    /// @param frame_limit The largest body that is accepted, in bytes.
    explicit frame_reader(std::size_t frame_limit) : m_limit(frame_limit) {}

    /// @brief Adds received bytes and calls `on_frame` with the body of each frame that is
    /// complete.
    /// @return `invalid_message` when a length exceeds the limit, or the first error of `on_frame`.
    /// The reader must not be used afterwards.
    [[nodiscard]] base::result<void>
    read(std::span<const std::uint8_t> received,
         const std::function<base::result<void>(std::span<const std::uint8_t>)>& on_frame);

private:
    std::size_t m_limit;
    std::vector<std::uint8_t> m_buffer;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_FRAME_READER_HPP
