#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGET_HPP

#include "scripted_target.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace chicorylink::process_tests {

/// @brief Whether a request's prompt has a part that others may share; its last part is its own.
[[nodiscard]] bool has_shared_part(const std::string& prompt_parts, std::string_view part);

/// @brief A target that crashes when it begins to answer a deadly request.
///
/// It streams the answers of paths below `/stream/` and answers the others at once. A crash closes
/// all of its connections, most of them inside an event. The port refuses for `down_time`; then a
/// new run listens there, mostly under a new name.
class crashing_target {
public:
    using clock = std::chrono::steady_clock;

    static constexpr std::chrono::milliseconds down_time{1000};
    static constexpr std::chrono::milliseconds event_interval{60};
    static constexpr int events = 8;

    struct arrival {
        clock::time_point at;
        std::string request_id;
    };

    /// One run of the target, as published.
    struct run {
        std::string name;
        int number = 1;
    };

    /// Called when a run ends, with that run and the next one, before the next one listens.
    using on_restart = std::function<void(const run& ended, const run& next)>;

    using predicate = std::function<bool(const scripted_target::http_exchange&)>;

    /// @param name Begin of the names of its runs.
    crashing_target(std::string name, std::string ip, unsigned short port, predicate is_deadly,
                    on_restart restarted);
    ~crashing_target();
    crashing_target(const crashing_target&) = delete;
    crashing_target& operator=(const crashing_target&) = delete;
    crashing_target(crashing_target&&) = delete;
    crashing_target& operator=(crashing_target&&) = delete;

    /// @brief Ends the run for a reason that has nothing to do with its requests.
    void crash();

    /// @brief Closes the connection of each `n`th answer inside an event from now on; 0 for none.
    void cut_each(int n) { m_cut_each = n; }

    [[nodiscard]] run current_run();
    /// @brief The deadly requests that arrived.
    [[nodiscard]] std::vector<arrival> deadly_arrivals();
    /// @brief When runs crashed on deadly requests.
    [[nodiscard]] std::vector<clock::time_point> deadly_crashes();

private:
    bool respond(scripted_target::http_exchange& exchange);
    bool stream(scripted_target::http_exchange& exchange);
    bool crash_on(scripted_target::http_exchange& exchange);
    bool begin_crash();
    void restart_after_crashes();
    [[nodiscard]] std::unique_ptr<scripted_target> listen();

    std::string m_name;
    std::string m_ip;
    unsigned short m_port;
    predicate m_is_deadly;
    on_restart m_restarted;
    std::atomic<int> m_cut_each{0};
    std::atomic<int> m_answers{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    run m_run;
    bool m_is_crashing = false;
    bool m_is_ending = false;
    std::vector<arrival> m_deadly_arrivals;
    std::vector<clock::time_point> m_deadly_crashes;
    std::unique_ptr<scripted_target> m_target;
    std::thread m_restarting;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGET_HPP
