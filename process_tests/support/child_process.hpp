#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {

/// @brief A program started by a test; the destructor kills it.
class child_process {
public:
    /// @brief Starts a program and waits for the JSON line that it prints when it is ready.
    /// @param log_file Receives the program's standard error.
    /// @throw std::runtime_error when the program exits before it is ready.
    child_process(const std::vector<std::string>& arguments, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// @brief The JSON line that the program printed when it was ready.
    [[nodiscard]] const nlohmann::json& ready_line() const { return m_ready; }

    void signal(int number) const;

    /// @brief Stops the program and waits until all of its threads stand still. A stop signal alone
    /// returns earlier: the other threads run on until one of them has handled it.
    /// @return False if the program runs on or has exited.
    [[nodiscard]] bool pause() const;

    /// @brief Waits for the program to exit.
    /// @return The exit code, or 128 plus the signal; empty when it still runs after the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// @brief Kills the program and waits for it to exit.
    void kill();

    [[nodiscard]] bool running() const { return m_id > 0; }
    [[nodiscard]] pid_t id() const { return m_id; }

private:
    [[nodiscard]] nlohmann::json read_ready_line() const;

    pid_t m_id = -1;
    int m_output = -1;
    nlohmann::json m_ready;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_CHILD_PROCESS_HPP
