#ifndef CHICORYLINK_FRONT_REQUEST_MEMORY_HPP
#define CHICORYLINK_FRONT_REQUEST_MEMORY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/byte_account.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace chicorylink::front {

/// @brief Identifies a connection whose request is incomplete.
enum class unfinished_key : std::uint64_t {};

/// @brief Why an unfinished request is refused.
enum class shed_cause { over_limit, over_watermark, paused_too_long };

/// @brief Counts the bytes of all requests that this VM has read and not finished, and decides when
/// reading pauses and which unfinished request is refused.
///
/// Bytes of unfinished requests are set by key. Bytes of complete requests (bodies that wait or are
/// sent, serialized copies, pipelined bytes) are added and removed; those requests end by their
/// deadlines.
class request_memory : public byte_account {
public:
    /// Requests up to this size are read on above the high watermark, so that ordinary requests are
    /// served while large ones wait.
    static constexpr std::size_t small_request_bytes = 64UL * 1024;
    /// Bytes per read, and the same above the high watermark, where each connection may read once
    /// more before it pauses.
    static constexpr std::size_t usual_read_bytes = 64UL * 1024;
    static constexpr std::size_t reduced_read_bytes = 4UL * 1024;
    /// How long the reading of a request pauses before it is refused. Callers honour a
    /// `Retry-After` up to a third of their remaining time, so a later refusal would be of no use.
    static constexpr base::milliseconds longest_pause{500};
    /// Sizes that differ by less than this are equal in the choice of a request to refuse.
    static constexpr std::size_t size_step_bytes = 64UL * 1024;

    struct shed_choice {
        unfinished_key key{};
        shed_cause cause{};
    };

    /// @param memory_bytes Memory that the process may use.
    explicit request_memory(std::size_t memory_bytes);

    /// @brief Registers a connection, whose request has no bytes yet.
    [[nodiscard]] unfinished_key open();
    void close(unfinished_key key);
    /// @brief Sets the bytes that the unfinished request of a connection holds; zero when it is
    /// complete, refused or gone.
    void set_unfinished(unfinished_key key, std::size_t bytes, base::time_point now);
    void note_paused(unfinished_key key, base::time_point now);
    /// @return For how long the reading was paused.
    base::milliseconds note_resumed(unfinished_key key, base::time_point now);
    [[nodiscard]] bool is_paused(unfinished_key key) const;

    void add(std::size_t bytes) override;
    void remove(std::size_t bytes) override;

    /// @brief Whether an unfinished request that holds so many bytes may be read on.
    [[nodiscard]] bool may_read(std::size_t bytes) const;
    /// @brief Most bytes of the next read of a connection.
    [[nodiscard]] std::size_t read_allowance() const
    {
        return m_is_full ? reduced_read_bytes : usual_read_bytes;
    }

    /// @brief The unfinished request to refuse now; none while pauses are enough.
    [[nodiscard]] std::optional<shed_choice> to_shed(base::time_point now) const;

    /// @brief Whether requests hold too much: from when the high watermark is exceeded until no
    /// more than the low watermark is held.
    [[nodiscard]] bool is_full() const { return m_is_full; }
    [[nodiscard]] std::size_t held() const { return m_held; }
    [[nodiscard]] std::size_t unfinished_bytes() const { return m_unfinished_bytes; }
    [[nodiscard]] std::size_t unfinished_requests() const { return m_unfinished_requests; }
    [[nodiscard]] std::size_t paused_requests() const { return m_paused_requests; }

    /// Bytes that all requests may hold. The copies that are sent to targets take up to as much as
    /// what was read, so reading stops at half of it.
    [[nodiscard]] std::size_t limit() const { return m_limit; }
    [[nodiscard]] std::size_t high_watermark() const { return m_limit / 2; }
    [[nodiscard]] std::size_t low_watermark() const { return m_limit / 4; }

private:
    struct unfinished {
        std::size_t bytes = 0;
        /// When the request's first bytes were counted.
        base::time_point since{};
        std::optional<base::time_point> paused_at;
    };

    [[nodiscard]] std::optional<unfinished_key> largest() const;

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_unfinished_bytes = 0;
    std::size_t m_unfinished_requests = 0;
    std::size_t m_paused_requests = 0;
    bool m_is_full = false;
    std::uint64_t m_last_key = 0;
    std::map<unfinished_key, unfinished> m_unfinished;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_MEMORY_HPP
