#ifndef CHICORYLINK_FRONT_RESPONSE_BUFFERS_HPP
#define CHICORYLINK_FRONT_RESPONSE_BUFFERS_HPP

#include "chicorylink/front/byte_account.hpp"

#include <cstddef>

namespace chicorylink::front {

/// @brief Counts the bytes of responses that this VM holds for callers, over all requests, and says
/// how many of them one request may hold.
class response_buffers : public byte_account {
public:
    /// Bytes that one request may hold before reading from its target pauses.
    static constexpr std::size_t usual_allowance = 256UL * 1024;
    /// The same while all requests together hold too much: an event, or a part of a body.
    static constexpr std::size_t reduced_allowance = 16UL * 1024;

    /// @param memory_bytes Memory that the process may use.
    explicit response_buffers(std::size_t memory_bytes);

    void add(std::size_t bytes) override;
    void remove(std::size_t bytes) override;

    /// @brief Bytes that one request may hold now.
    [[nodiscard]] std::size_t allowance() const;

    /// @brief Whether allowances are reduced: from when the limit is exceeded until half of it is
    /// free.
    [[nodiscard]] bool is_full() const { return m_is_full; }

    /// @brief Bytes that all requests hold.
    [[nodiscard]] std::size_t held() const { return m_held; }

    /// @brief Bytes that all requests may hold before their allowances are reduced.
    [[nodiscard]] std::size_t limit() const { return m_limit; }

private:
    std::size_t m_limit;
    std::size_t m_held = 0;
    bool m_is_full = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_RESPONSE_BUFFERS_HPP
