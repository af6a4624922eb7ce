#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGETS_FIXTURE_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGETS_FIXTURE_HPP

#include "crashing_target.hpp"
#include "front_fleet.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::process_tests {

/// @brief Two regions of two VMs each, before targets that crash on deadly requests.
class crashing_targets_fixture : public testing::Test {
protected:
    using clock = crashing_target::clock;

    struct setup {
        /// Name of the folder for settings and logs.
        std::string name;
        /// The first three bytes of the addresses of VMs and targets, with a dot behind each.
        std::string network;
        unsigned short first_target_port = 0;
        /// The data center of each target.
        std::vector<std::string> zones;
        crashing_target::predicate is_deadly;
    };

    explicit crashing_targets_fixture(setup parts);

    /// @brief Starts all targets and VMs and waits until these are ready and know each other.
    void start();

    [[nodiscard]] std::vector<std::string> east_vms() const { return {vm(1), vm(2)}; }
    [[nodiscard]] std::vector<std::string> west_vms() const { return {vm(3), vm(4)}; }
    /// @brief The VMs of both regions by turns.
    [[nodiscard]] std::vector<std::string> all_vms() const { return {vm(1), vm(3), vm(2), vm(4)}; }
    /// @brief The address of a VM; those of `start` have the numbers 1 to 4.
    [[nodiscard]] std::string vm(int number) const;

    /// @brief When targets crashed on deadly requests, sorted.
    [[nodiscard]] std::vector<clock::time_point> crashes() const;
    /// @brief The arrivals of deadly requests at targets.
    [[nodiscard]] std::size_t arrivals_since(clock::time_point from) const;
    [[nodiscard]] std::string list_arrivals(clock::time_point from) const;

    setup m_setup;
    front_fleet m_fleet;
    std::vector<std::unique_ptr<crashing_target>> m_targets;

private:
    void add_target(const std::string& zone);
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_CRASHING_TARGETS_FIXTURE_HPP
