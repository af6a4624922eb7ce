#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_STOPPING_VM_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_STOPPING_VM_HPP

#include "front_fleet.hpp"
#include "raw_connection.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {

/// @brief A connection and what the test did with it, for the output of a failure.
struct described_connection {
    std::string what;
    std::unique_ptr<raw_connection> connection;
};

/// @brief The bytes of a request of a caller or another VM.
[[nodiscard]] std::string request_bytes(const std::string& id, const std::string& path = "/safe/x",
                                        int deadline_ms = 4000,
                                        const std::string& framing = "Content-Length: 5",
                                        const std::string& body = "order");

/// @brief A fixture with one VM that a test stops. Its target sends a stream at `/stream/` that
/// lasts longer than a stop, sends nothing at `/unsafe/silent`, and answers others at once.
class stopping_vm : public testing::Test {
protected:
    using clock = std::chrono::steady_clock;

    /// From the signal until a VM ends its requests, by the settings of `front_fleet`.
    static constexpr std::chrono::milliseconds end_of_requests{7600};

    /// How long a test waits for any one response.
    static constexpr std::chrono::seconds patience{9};

    /// The addresses at which a VM takes requests: of callers and of other VMs.
    static constexpr std::array request_ports{front_fleet::callers_port, front_fleet::peer_port};

    /// @param ip A loopback address that no other suite uses.
    explicit stopping_vm(std::string ip);

    void start(const nlohmann::json& limits = nlohmann::json::object());

    /// @brief Begins a stream that keeps the VM from exiting before the end of its stop.
    void start_stream();

    void begin_stop();
    void wait_after_signal(std::chrono::milliseconds time) const;

    /// @brief Lets the VM stand still until some time after the signal, and meanwhile sends.
    void pause_until(std::chrono::milliseconds after_signal, const std::function<void()>& send);

    /// @brief Checks the status of the next response on each connection, and that a 503 says when
    /// to come back.
    static void expect_replies(const std::vector<described_connection>& connections, int status);

    std::string m_ip;
    scripted_target m_target;
    front_fleet m_fleet;

private:
    std::unique_ptr<raw_connection> m_stream;
    clock::time_point m_stopped_at;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_STOPPING_VM_HPP
