#ifndef CHICORYLINK_FRONT_BYTE_ACCOUNT_HPP
#define CHICORYLINK_FRONT_BYTE_ACCOUNT_HPP

#include <cstddef>

namespace chicorylink::front {

/// @brief A process-wide count of bytes that buffers hold.
class byte_account {
public:
    virtual ~byte_account() = default;
    byte_account() = default;
    byte_account(const byte_account&) = delete;
    byte_account& operator=(const byte_account&) = delete;
    byte_account(byte_account&&) = delete;
    byte_account& operator=(byte_account&&) = delete;

    virtual void add(std::size_t bytes) = 0;
    virtual void remove(std::size_t bytes) = 0;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_BYTE_ACCOUNT_HPP
