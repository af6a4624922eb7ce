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

/// @brief One thread that runs posted tasks in order and repeats others at intervals.
///
/// The modules that are not thread-safe, membership and configuration, are touched on it alone.
class control_loop {
public:
    using task = std::function<void()>;

    explicit control_loop(std::function<base::time_point()> now);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;

    /// @brief Repeats a task. To be called before `start`.
    void every(base::milliseconds interval, task work);

    void start();

    /// @brief Runs a task on the loop's thread, after those posted before.
    void post(task work);

    /// @brief Ends the thread after the present task; posted tasks that are left are dropped.
    void stop();

private:
    struct repeated {
        base::milliseconds interval;
        base::time_point next;
        task work;
    };

    void run();
    void run_posted();
    void run_due();
    [[nodiscard]] base::time_point next_due() const;

    std::function<base::time_point()> m_now;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<task> m_posted;
    bool m_stopping = false;
    std::vector<repeated> m_repeated;
    std::thread m_thread;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CONTROL_LOOP_HPP
