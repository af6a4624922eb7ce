#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_TWO_REGION_TARGETS_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_TWO_REGION_TARGETS_HPP

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::process_tests {

/// The body of a response that is served whole.
inline constexpr std::string_view whole_body = "the whole body of the target's response";

/// More targets than any test has failures.
inline constexpr int many_targets = 50;

/// @brief A VM in each of two regions, and targets scripted by the test in the region of the first.
class two_region_targets : public testing::Test {
protected:
    using script = scripted_target::script;

    /// @param name Name of the folder for settings and logs.
    /// @param west_ip, east_ip Loopback addresses that no other suite uses.
    two_region_targets(const std::string& name, std::string west_ip, std::string east_ip);

    /// @param targets The number of targets; those that failed are avoided while there are others.
    void start(int targets,
               scripted_target::body_reading reading = scripted_target::body_reading::whole);

    /// @param first What the first request with its id gets at the targets.
    /// @param next What each repeat gets.
    /// @return What the caller of a VM got.
    reply send(const std::string& ip, const std::string& path, script first, script next,
               const std::string& body = "order");

    /// @brief Gets a success from the only target, so that it is not avoided for its failures, and
    /// keeps the connection to it or closes it.
    void succeed(const std::string& ip, bool keep);

    [[nodiscard]] static script serve_whole();

    /// @brief The number of requests that the targets got for the latest caller.
    [[nodiscard]] int sends() const;

    std::string m_west_ip;
    std::string m_east_ip;
    front_fleet m_fleet;
    std::vector<std::unique_ptr<scripted_target>> m_targets;

private:
    script chosen(const scripted_target::http_exchange& exchange);

    std::mutex m_mutex;
    script m_first;
    script m_next;
    std::map<std::string, int> m_turns;
    int m_requests = 0;
    std::string m_last_id;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_TWO_REGION_TARGETS_HPP
