#include "crashing_targets_fixture.hpp"

#include "fleet.hpp"
#include "suite.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

crashing_targets_fixture::crashing_targets_fixture(setup parts)
    : m_setup(std::move(parts)), m_fleet(binaries(), m_setup.name)
{
}

std::string crashing_targets_fixture::vm(int number) const
{
    return fmt::format("{}{}", m_setup.network, number);
}

void crashing_targets_fixture::start()
{
    m_fleet.publish_config(1, {"secret"});
    for (const auto& zone : m_setup.zones) {
        add_target(zone);
    }
    m_fleet.set_seeds({east_vms().front(), west_vms().front()});
    for (const auto& ip : east_vms()) {
        m_fleet.start(ip, "east");
    }
    for (const auto& ip : west_vms()) {
        m_fleet.start(ip, "west");
    }
    for (const auto& ip : all_vms()) {
        ASSERT_TRUE(wait_until([&] { return front_fleet::is_ready(ip); }, seconds{10}));
        ASSERT_TRUE(wait_until(
            [&] {
                return front_fleet::directory(ip, "east").size() == east_vms().size() &&
                       front_fleet::directory(ip, "west").size() == west_vms().size();
            },
            seconds{5}))
            << ip << front_fleet::directory(ip, "east") << front_fleet::directory(ip, "west");
    }
}

void crashing_targets_fixture::add_target(const std::string& zone)
{
    const auto number = m_targets.size();
    const auto ip = m_setup.network + "100";
    const auto port = static_cast<unsigned short>(m_setup.first_target_port + number);
    const auto address = fmt::format("{}:{}", ip, port);
    m_targets.push_back(std::make_unique<crashing_target>(
        fmt::format("i-{}", number), ip, port, m_setup.is_deadly,
        [this, zone, address](const auto& ended, const auto& next) {
            if (ended.name != next.name) {
                m_fleet.store().remove("servers/" + ended.name);
            }
            m_fleet.publish_target(next.name, address, zone, next.number);
        }));
    m_fleet.publish_target(m_targets.back()->current_run().name, address, zone);
}

std::vector<crashing_targets_fixture::clock::time_point> crashing_targets_fixture::crashes() const
{
    std::vector<clock::time_point> all;
    for (const auto& target : m_targets) {
        const auto own = target->deadly_crashes();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::size_t crashing_targets_fixture::arrivals_since(clock::time_point from) const
{
    std::size_t count = 0;
    for (const auto& target : m_targets) {
        const auto all = target->deadly_arrivals();
        count += static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto& entry) { return entry.at >= from; }));
    }
    return count;
}

std::string crashing_targets_fixture::list_arrivals(clock::time_point from) const
{
    std::string lines = fmt::format("{} crashes\n", crashes().size());
    for (const auto& target : m_targets) {
        for (const auto& entry : target->deadly_arrivals()) {
            const auto after = std::chrono::duration_cast<milliseconds>(entry.at - from);
            lines += fmt::format("{} ms {}\n", after.count(), entry.request_id);
        }
    }
    return lines;
}

} // namespace chicorylink::process_tests
