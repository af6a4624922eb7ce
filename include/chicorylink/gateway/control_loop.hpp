#ifndef CHICORYLINK_GATEWAY_CONTROL_LOOP_HPP
#define CHICORYLINK_GATEWAY_CONTROL_LOOP_HPP

#include "chicorylink/base/units.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace chicorylink::gateway {

/// @brief A thread that runs posted tasks in order and periodic tasks at intervals.
///
/// Membership and configuration are not thread-safe and are used on this thread only.
class control_loop {
public:
    using task = std::function<void()>;

    explicit control_loop(std::function<base::time_point()> now);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;

    /// @brief Adds a periodic task. Call it before `start` only.
    void every(base::milliseconds interval, task work);

    void start();

    /// @brief Runs a task on the loop's thread, after those posted before.
    void post(task work);

    /// @brief Stops the thread after the current pass over posted and due tasks; tasks still posted
    /// then are dropped.
    void stop();

private:
    struct periodic_task {
        base::milliseconds interval;
        base::time_point next;
        task work;
    };

    void run();
    void run_posted();
    void run_due();
    [[nodiscard]] base::time_point next_due_time() const;

    std::function<base::time_point()> m_now;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<task> m_posted;
    bool m_stopping = false;
    std::vector<periodic_task> m_periodic_tasks;
    std::thread m_thread;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CONTROL_LOOP_HPP
