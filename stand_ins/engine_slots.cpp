#include "stand_ins/engine_slots.hpp"

#include "stand_ins/http_request.hpp"

#include <chrono>

namespace chicorylink::stand_ins {
namespace {

constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

engine_slots::engine_slots(std::size_t slots, std::size_t queue_limit)
    : m_slots(slots), m_queue_limit(queue_limit)
{
}

engine_slots::acquire_result engine_slots::acquire(int priority, const http_request& request)
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_slots && m_waiting.size() >= m_queue_limit) {
        return acquire_result::queue_full;
    }
    const auto entry = m_waiting.emplace(priority, m_next_arrival++).first;
    while (m_running >= m_slots || m_waiting.begin() != entry) {
        m_changed.wait_for(lock, poll_interval);
        if (request.client_closed()) {
            m_waiting.erase(entry);
            m_changed.notify_all();
            return acquire_result::client_closed;
        }
    }
    m_waiting.erase(entry);
    ++m_running;
    m_changed.notify_all();
    return acquire_result::granted;
}

void engine_slots::release()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_changed.notify_all();
}

engine_slots::load engine_slots::current() const
{
    const std::lock_guard lock(m_mutex);
    return {m_running, m_waiting.size(), m_slots};
}

} // namespace chicorylink::stand_ins
