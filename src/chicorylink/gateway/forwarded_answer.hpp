#ifndef CHICORYLINK_GATEWAY_FORWARDED_ANSWER_HPP
#define CHICORYLINK_GATEWAY_FORWARDED_ANSWER_HPP

#include "chicorylink/gateway/work.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace chicorylink::gateway {

/// Functions on the answer that another VM sends over a peer link: the length of the head, the
/// head, then the body. The work's lock is held by the caller.

/// @brief Takes the next bytes; whole events of a streamed answer are passed on at once.
/// @return False when the head can't be read or the answer passes its size limit.
[[nodiscard]] bool take_forwarded_bytes(work& entry, std::span<const std::uint8_t> bytes,
                                        std::size_t max_bytes);

/// @brief Whether head and body have arrived completely.
[[nodiscard]] bool forwarded_answer_is_whole(const work& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FORWARDED_ANSWER_HPP
