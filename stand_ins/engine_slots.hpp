#ifndef CHICORYLINK_STAND_INS_ENGINE_SLOTS_HPP
#define CHICORYLINK_STAND_INS_ENGINE_SLOTS_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

namespace chicorylink::stand_ins {

struct http_request;

/// @brief The slots of a batch and their queue, ordered by priority and arrival.
class engine_slots {
public:
    enum class acquire_result { granted, queue_full, client_closed };

    /// @brief The number of running and waiting requests.
    struct load {
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::size_t slots = 0;
    };

    engine_slots(std::size_t slots, std::size_t queue_limit);

    /// @brief Waits for a slot.
    /// @param priority 0 is the highest.
    [[nodiscard]] acquire_result acquire(int priority, const http_request& request);

    void release();

    [[nodiscard]] load current() const;

private:
    using queue_entry = std::pair<int, std::uint64_t>;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_slots;
    std::size_t m_queue_limit;
    std::size_t m_running = 0;
    std::uint64_t m_next_arrival = 0;
    std::set<queue_entry> m_waiting;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_ENGINE_SLOTS_HPP
