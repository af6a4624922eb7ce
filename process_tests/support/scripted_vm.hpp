#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_VM_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_VM_HPP

#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {

/// @brief A fixture with one VM of the users' platform and targets scripted by the test.
class scripted_vm : public testing::Test {
protected:
    /// @param ip A loopback address that no other suite uses.
    explicit scripted_vm(std::string ip)
        : m_ip(std::move(ip)), m_fleet(binaries(), "chicorylink_" + m_ip)
    {
    }

    /// @brief Publishes another target, named `i-1`, `i-2` and so on.
    void serve(scripted_target::script script)
    {
        m_targets.push_back(std::make_unique<scripted_target>(std::move(script)));
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target(fmt::format("i-{}", m_targets.size()), m_targets.back()->address(),
                               "east-a");
    }
    void start()
    {
        m_fleet.start(m_ip, "east");
        ASSERT_TRUE(
            wait_until([this] { return front_fleet::is_ready(m_ip); }, std::chrono::seconds{10}));
    }
    [[nodiscard]] reply send_request(const std::string& path, const std::string& id) const
    {
        return perform(front_fleet::request(m_ip, path, id));
    }

    std::string m_ip;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
    front_fleet m_fleet;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_VM_HPP
