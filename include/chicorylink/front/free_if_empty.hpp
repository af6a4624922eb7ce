#ifndef CHICORYLINK_FRONT_FREE_IF_EMPTY_HPP
#define CHICORYLINK_FRONT_FREE_IF_EMPTY_HPP

#include <cstddef>
#include <string>

namespace chicorylink::front {

/// @brief Frees the memory of an empty buffer that has grown large. Idle connections and messages
/// under way are many, and a string keeps its capacity.
inline void free_if_empty(std::string& buffer)
{
    constexpr std::size_t max_kept_capacity = 16UL * 1024;
    if (buffer.empty() && buffer.capacity() > max_kept_capacity) {
        buffer = {};
    }
}

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FREE_IF_EMPTY_HPP
