#ifndef CHICORYLINK_FRONT_HELD_BYTES_HPP
#define CHICORYLINK_FRONT_HELD_BYTES_HPP

#include <cstddef>
#include <memory>

namespace chicorylink::front {

class byte_account;

/// @brief The bytes that one buffer adds to the count of all; none after its end.
class held_bytes {
public:
    explicit held_bytes(std::shared_ptr<byte_account> all);
    ~held_bytes();
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;
    held_bytes(held_bytes&&) = delete;
    held_bytes& operator=(held_bytes&&) = delete;

    /// @brief Sets how many bytes the buffer holds now.
    void set(std::size_t bytes);

private:
    std::shared_ptr<byte_account> m_all;
    std::size_t m_bytes = 0;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_HELD_BYTES_HPP
