#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_PROMPT_TRAFFIC_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_PROMPT_TRAFFIC_HPP

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chicorylink::process_tests {

/// @brief Callers that send prompts to the VMs of a `front_fleet` and record how each one ended.
///
/// All prompts begin with the same part, most have a session's part, and each ends with its own.
class prompt_traffic {
public:
    using clock = std::chrono::steady_clock;

    /// How one request ended.
    struct outcome {
        std::string request_id;
        std::string vm;
        bool is_deadly = false;
        clock::time_point begin;
        clock::duration took{};
        int status = 0;
        bool complete = false;
        /// Zero when the response has none.
        double retry_after_s = 0;
        /// Whether the VM gave a quarantined part of the prompt as the reason for its refusal.
        bool is_quarantined = false;
    };

    prompt_traffic(std::vector<std::string> vms, std::string deadly_part, unsigned seed);
    ~prompt_traffic();
    prompt_traffic(const prompt_traffic&) = delete;
    prompt_traffic& operator=(const prompt_traffic&) = delete;
    prompt_traffic(prompt_traffic&&) = delete;
    prompt_traffic& operator=(prompt_traffic&&) = delete;

    /// @brief Some callers at each VM send sound prompts until `stop`, one after the other.
    void start_sound();

    /// @brief Prompts with the deadly part go to all VMs in turn until `stop`.
    void start_deadly();

    /// @brief Sends one prompt with the deadly part and waits for its end.
    outcome send_deadly(const std::string& vm);

    /// @brief Ends all callers and waits until their last request has ended.
    void stop();

    /// @brief The requests that have ended.
    [[nodiscard]] std::vector<outcome> outcomes();

private:
    outcome send(const std::string& vm, const std::string& kind, const std::string& parts);
    void send_sound(const std::string& vm, unsigned caller);
    void send_deadly_in_turn();

    std::vector<std::string> m_vms;
    std::string m_deadly_part;
    unsigned m_seed;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<unsigned> m_sent{0};
    std::mutex m_mutex;
    std::vector<outcome> m_outcomes;
    std::vector<std::thread> m_callers;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_PROMPT_TRAFFIC_HPP
