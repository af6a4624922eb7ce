#ifndef CHICORYLINK_SCENARIO_WORLD_HPP
#define CHICORYLINK_SCENARIO_WORLD_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/scenario/envelope.hpp"
#include "chicorylink/scenario/module_hooks.hpp"
#include "chicorylink/scenario/vm.hpp"

#include <any>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicorylink::scenario {

/// @brief Simulated VMs, a virtual clock and the messages in flight.
///
/// It models no network: a message stays in flight until the script delivers or drops it.
/// Usage errors are thrown as `std::runtime_error` and end the script.
class world {
public:
    explicit world(std::uint64_t seed = 1);

    void add_module(module_hooks hooks);

    /// @brief Seeds the random generator, the only one that a scenario uses.
    void seed(std::uint64_t value) { m_random.seed(value); }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }

    [[nodiscard]] base::time_point now() const { return m_now; }
    [[nodiscard]] base::milliseconds elapsed() const;

    /// @brief Sets the step by which `advance` and `run` move the clock.
    void set_tick(base::milliseconds interval);

    /// @brief Moves the clock by ticks; delivers nothing.
    void advance(base::milliseconds duration);

    /// @brief Moves the clock by ticks and delivers, after each, all messages then in flight.
    void run(base::milliseconds duration);

    /// @brief Makes and starts a VM.
    vm& add_vm(const std::string& name, const std::string& region, const std::string& data_center,
               const std::string& address = {});
    [[nodiscard]] vm& find(const std::string& name);
    [[nodiscard]] vm* find_by_id(base::vm_id id);
    [[nodiscard]] std::vector<vm*> vms();

    /// @brief Pauses a VM: its clock goes on and its messages wait until it resumes.
    void pause(const std::string& name);
    void resume(const std::string& name);
    /// @brief Ends the process at once; connections to it are refused.
    void stop(const std::string& name);
    /// @brief Ends the process if it runs and starts one with a new incarnation.
    void restart(const std::string& name);

    /// @brief Partitions two sides. A side is the name of a VM, data center or region.
    void partition(const std::string& a, const std::string& b);
    void heal(const std::string& a, const std::string& b);
    void heal_all() { m_partitions.clear(); }
    [[nodiscard]] bool partitioned(const vm& a, const vm& b) const;

    void send(const vm& from, const std::string& to, std::string kind, std::any body,
              std::size_t size_bytes);

    [[nodiscard]] const std::deque<envelope>& in_flight() const { return m_in_flight; }

    /// @brief Delivers the messages in flight that match. Messages to a paused VM stay; messages
    /// across a partition are lost; a stopped VM refuses them.
    /// @return The number of messages that left the queue.
    std::size_t deliver(const envelope_filter& filter);
    std::size_t drop(const envelope_filter& filter);
    std::size_t duplicate(const envelope_filter& filter);
    /// @brief Puts all messages in flight into a random order.
    void reorder();

    /// @brief State of a module for the whole world, such as a fake of the platform.
    template <class T>
    [[nodiscard]] T& state()
    {
        return m_shared.state<T>();
    }

private:
    void start(vm& machine);
    void tick_all();
    void deliver_one(const envelope& message);
    [[nodiscard]] const module_hooks* hooks_of(const std::string& kind) const;

    std::mt19937_64 m_random;
    base::time_point m_now;
    base::milliseconds m_tick{100};
    std::vector<module_hooks> m_modules;
    std::map<std::string, std::unique_ptr<vm>> m_vms;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::deque<envelope> m_in_flight;
    std::uint64_t m_next_number = 1;
    vm m_shared;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_WORLD_HPP
