#include "chicorylink/scenario/world.hpp"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

/// The virtual clock starts well above zero, so that long durations can be subtracted.
constexpr base::milliseconds clock_start{1'000'000'000};

std::string module_of(const std::string& kind)
{
    return kind.substr(0, kind.find('.'));
}

bool is_on_side(const vm& machine, const std::string& side)
{
    return machine.name == side || machine.data_center == side || machine.region == side;
}

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b)
{
    return a < b ? std::pair{a, b} : std::pair{b, a};
}

} // namespace

bool matches(const envelope_filter& filter, const envelope& message)
{
    if (filter.number != 0 && filter.number != message.number) {
        return false;
    }
    if (!filter.from.empty() && filter.from != message.from) {
        return false;
    }
    if (!filter.to.empty() && filter.to != message.to) {
        return false;
    }
    return filter.kind.empty() || filter.kind == message.kind ||
           filter.kind == module_of(message.kind);
}

world::world(std::uint64_t seed) : m_random(seed), m_now(clock_start) {}

void world::add_module(module_hooks hooks)
{
    m_modules.push_back(std::move(hooks));
}

base::milliseconds world::elapsed() const
{
    return std::chrono::duration_cast<base::milliseconds>(m_now.time_since_epoch()) - clock_start;
}

void world::set_tick(base::milliseconds interval)
{
    if (interval <= base::milliseconds::zero()) {
        throw std::runtime_error("the tick must be at least 1 ms");
    }
    m_tick = interval;
}

void world::advance(base::milliseconds duration)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        m_now = std::min<base::time_point>(m_now + m_tick, end);
        tick_all();
    }
}

void world::run(base::milliseconds duration)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        m_now = std::min<base::time_point>(m_now + m_tick, end);
        tick_all();
        deliver({});
    }
}

vm& world::add_vm(const std::string& name, const std::string& region,
                  const std::string& data_center, const std::string& address)
{
    auto created = std::make_unique<vm>();
    created->id = base::id_of<base::vm_id>(name);
    created->name = name;
    created->region = region;
    created->data_center = data_center;
    created->address = address.empty() ? name : address;
    const auto [position, added] = m_vms.emplace(name, std::move(created));
    if (!added) {
        throw std::runtime_error(fmt::format("there is already a VM {}", name));
    }
    start(*position->second);
    return *position->second;
}

vm& world::find(const std::string& name)
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
        throw std::runtime_error(fmt::format("there is no VM {}", name));
    }
    return *found->second;
}

vm* world::find_by_id(base::vm_id id)
{
    const auto found =
        std::ranges::find_if(m_vms, [id](const auto& entry) { return entry.second->id == id; });
    return found == m_vms.end() ? nullptr : found->second.get();
}

std::vector<vm*> world::vms()
{
    std::vector<vm*> result;
    for (const auto& entry : m_vms) {
        result.push_back(entry.second.get());
    }
    return result;
}

void world::pause(const std::string& name)
{
    find(name).paused = true;
}

void world::resume(const std::string& name)
{
    find(name).paused = false;
}

void world::stop(const std::string& name)
{
    auto& machine = find(name);
    machine.running = false;
    machine.paused = false;
    machine.clear_state();
}

void world::restart(const std::string& name)
{
    stop(name);
    start(find(name));
}

void world::start(vm& machine)
{
    machine.running = true;
    machine.process = base::incarnation{m_random() | 1U};
    for (const auto& hooks : m_modules) {
        if (hooks.start) {
            hooks.start(*this, machine);
        }
    }
}

void world::partition(const std::string& a, const std::string& b)
{
    m_partitions.insert(ordered(a, b));
}

void world::heal(const std::string& a, const std::string& b)
{
    m_partitions.erase(ordered(a, b));
}

bool world::partitioned(const vm& a, const vm& b) const
{
    return std::ranges::any_of(m_partitions, [&](const auto& sides) {
        return (is_on_side(a, sides.first) && is_on_side(b, sides.second)) ||
               (is_on_side(b, sides.first) && is_on_side(a, sides.second));
    });
}

void world::send(const vm& from, const std::string& to, std::string kind, std::any body,
                 std::size_t size_bytes)
{
    m_in_flight.push_back({.number = m_next_number++,
                           .from = from.name,
                           .to = to,
                           .sender = from.process,
                           .kind = std::move(kind),
                           .body = std::move(body),
                           .size_bytes = size_bytes});
}

std::size_t world::deliver(const envelope_filter& filter)
{
    std::deque<envelope> deliverable;
    std::deque<envelope> remaining;
    for (auto& message : m_in_flight) {
        const bool now_possible = matches(filter, message) && !find(message.to).paused;
        (now_possible ? deliverable : remaining).push_back(std::move(message));
    }
    m_in_flight = std::move(remaining);
    for (const auto& message : deliverable) {
        deliver_one(message);
    }
    return deliverable.size();
}

std::size_t world::drop(const envelope_filter& filter)
{
    return std::erase_if(m_in_flight,
                         [&](const envelope& message) { return matches(filter, message); });
}

std::size_t world::duplicate(const envelope_filter& filter)
{
    std::vector<envelope> copies;
    std::ranges::copy_if(m_in_flight, std::back_inserter(copies),
                         [&](const envelope& message) { return matches(filter, message); });
    for (auto& copy : copies) {
        copy.number = m_next_number++;
        m_in_flight.push_back(std::move(copy));
    }
    return copies.size();
}

void world::reorder()
{
    std::ranges::shuffle(m_in_flight, m_random);
}

void world::tick_all()
{
    for (auto* machine : vms()) {
        if (!machine->running || machine->paused) {
            continue;
        }
        for (const auto& hooks : m_modules) {
            if (hooks.tick) {
                hooks.tick(*this, *machine);
            }
        }
    }
}

void world::deliver_one(const envelope& message)
{
    auto& from = find(message.from);
    auto& to = find(message.to);
    const auto* hooks = hooks_of(message.kind);
    if (hooks == nullptr || partitioned(from, to)) {
        return;
    }
    if (to.running) {
        if (hooks->receive) {
            hooks->receive(*this, to, message);
        }
        return;
    }
    const bool sender_is_active = from.running && !from.paused && from.process == message.sender;
    if (sender_is_active && hooks->refused) {
        hooks->refused(*this, from, message);
    }
}

const module_hooks* world::hooks_of(const std::string& kind) const
{
    const auto module = module_of(kind);
    const auto found = std::ranges::find(m_modules, module, &module_hooks::module);
    return found == m_modules.end() ? nullptr : &*found;
}

} // namespace chicorylink::scenario
