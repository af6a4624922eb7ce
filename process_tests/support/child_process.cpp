#include "child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace chicorylink::process_tests {
namespace {

constexpr int ready_timeout_ms = 20'000;
constexpr std::chrono::milliseconds poll_interval{5};
constexpr int signal_exit_base = 128;
constexpr int log_mode = 0644;

[[noreturn]] void run_program(const std::vector<std::string>& arguments, int output,
                              const std::string& log_file)
{
    const int log = open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND, log_mode);
    dup2(output, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const auto& argument : arguments) {
        pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    pointers.push_back(nullptr);
    execv(pointers.front(), pointers.data());
    _exit(signal_exit_base - 1);
}

} // namespace

child_process::child_process(const std::vector<std::string>& arguments, const std::string& log_file)
{
    int ends[2] = {-1, -1};
    if (pipe2(ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for a child process");
    }
    m_id = fork();
    if (m_id == 0) {
        run_program(arguments, ends[1], log_file);
    }
    close(ends[1]);
    m_output = ends[0];
    m_ready = read_ready_line();
    if (m_ready.is_discarded()) {
        kill();
        throw std::runtime_error("'" + arguments.front() + "' did not start; see " + log_file);
    }
}

child_process::~child_process()
{
    kill();
    if (m_output >= 0) {
        close(m_output);
    }
}

child_process::child_process(child_process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1)), m_output(std::exchange(other.m_output, -1)),
      m_ready(std::move(other.m_ready))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_output, other.m_output);
    std::swap(m_ready, other.m_ready);
    return *this;
}

void child_process::signal(int number) const
{
    if (m_id > 0) {
        ::kill(m_id, number);
    }
}

bool child_process::pause() const
{
    signal(SIGSTOP);
    siginfo_t state{};
    return m_id > 0 && waitid(P_PID, static_cast<id_t>(m_id), &state, WSTOPPED) == 0 &&
           state.si_pid == m_id;
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (m_id > 0) {
        int status = 0;
        if (waitpid(m_id, &status, WNOHANG) == m_id) {
            m_id = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= until) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return std::nullopt;
}

void child_process::kill()
{
    if (m_id <= 0) {
        return;
    }
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = -1;
}

nlohmann::json child_process::read_ready_line() const
{
    std::string line;
    pollfd watched{m_output, POLLIN, 0};
    while (poll(&watched, 1, ready_timeout_ms) > 0) {
        char byte = 0;
        if (read(m_output, &byte, 1) != 1) {
            break;
        }
        if (byte == '\n') {
            return nlohmann::json::parse(line, nullptr, false);
        }
        line.push_back(byte);
    }
    return nlohmann::json::parse("", nullptr, false);
}

} // namespace chicorylink::process_tests
