#include "chicorylink/gateway/control_loop.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::gateway {

control_loop::control_loop(std::function<base::time_point()> now) : m_now(std::move(now)) {}

control_loop::~control_loop()
{
    stop();
}

void control_loop::every(base::milliseconds interval, task work)
{
    m_periodic_tasks.push_back({interval, m_now(), std::move(work)});
}

void control_loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void control_loop::post(task work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(work));
    }
    m_changed.notify_one();
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_loop::run()
{
    while (true) {
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_until(lock, next_due_time(),
                                 [this] { return m_stopping || !m_posted.empty(); });
            if (m_stopping) {
                return;
            }
        }
        run_posted();
        run_due();
    }
}

void control_loop::run_posted()
{
    std::deque<task> todo;
    {
        const std::lock_guard lock(m_mutex);
        todo.swap(m_posted);
    }
    for (const auto& work : todo) {
        work();
    }
}

void control_loop::run_due()
{
    for (auto& entry : m_periodic_tasks) {
        const auto now = m_now();
        if (entry.next <= now) {
            entry.next = now + entry.interval;
            entry.work();
        }
    }
}

base::time_point control_loop::next_due_time() const
{
    auto next = base::time_point::max();
    for (const auto& entry : m_periodic_tasks) {
        next = std::min(next, entry.next);
    }
    return next;
}

} // namespace chicorylink::gateway
