#include "chicorylink/scenario/membership_process.hpp"

#include "chicorylink/membership/codec.hpp"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

constexpr base::milliseconds list_poll{2'000};
constexpr base::time_point epoch{};

/// An encoded message and the process that the sender expected at the address.
struct membership_bytes {
    std::vector<std::uint8_t> bytes;
    base::incarnation expected;
};

bool is_on_side(const vm& machine, const std::string& side)
{
    return side == machine.name || side == machine.data_center || side == machine.region;
}

vm* vm_at_address(world& sim, const membership::outgoing& message)
{
    for (auto* each : sim.vms()) {
        if (each->running && each->address == message.address) {
            return each;
        }
    }
    return sim.find_by_id(message.to);
}

std::uint64_t started_ms(const world& sim)
{
    const auto since = sim.now() - epoch;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(since).count());
}

void apply_effects(world& sim, vm& self, const membership::effects& out)
{
    auto& process = self.state<membership_process>();
    for (const auto& each : out.send) {
        auto* to = vm_at_address(sim, each);
        if (to == nullptr) {
            continue;
        }
        membership_bytes body{membership::encode(each.content), process.table->process_of(each.to)};
        const auto size = body.bytes.size();
        process.sent_bytes += size;
        ++process.messages;
        sim.send(self, to->name, "membership.message", std::move(body), size);
    }
}

membership::platform_list list_for(world& sim, const vm& machine)
{
    const auto& lists = sim.state<platform_lists>();
    for (const auto& [side, frozen] : lists.frozen) {
        if (is_on_side(machine, side)) {
            auto list = frozen.list;
            if (frozen.age_grows) {
                list.age +=
                    std::chrono::duration_cast<base::milliseconds>(sim.now() - frozen.since);
            }
            return list;
        }
    }
    return lists.present;
}

void poll_list(world& sim, vm& self)
{
    auto& process = self.state<membership_process>();
    if (sim.now() < process.next_poll) {
        return;
    }
    process.next_poll = sim.now() + list_poll;
    if (!reaches_platform(sim, self)) {
        return;
    }
    ++sim.state<platform_lists>().calls;
    apply_effects(sim, self, process.table->on_list(list_for(sim, self), sim.now(), sim.now()));
}

void start(world& sim, vm& self)
{
    membership::identity own_identity{.name = self.name,
                                      .region = base::id_of<base::region_id>(self.region),
                                      .data_center =
                                          base::id_of<base::data_center_id>(self.data_center),
                                      .caller_address = self.address,
                                      .peer_address = self.address,
                                      .process = self.process,
                                      .started_ms = started_ms(sim)};
    auto& process = self.state<membership_process>();
    process.table.emplace(std::move(own_identity), membership::timing{}, sim.now());
    process.next_poll = sim.now();
}

void tick(world& sim, vm& self)
{
    auto& process = self.state<membership_process>();
    if (process.table->must_renew()) {
        self.process = base::incarnation{sim.random()() | 1U};
        process.table->renew(self.process, started_ms(sim), sim.now());
        ++process.renewals;
    }
    poll_list(sim, self);
    apply_effects(sim, self, process.table->tick(sim.now()));
}

void receive(world& sim, vm& self, const envelope& message)
{
    const auto& body = std::any_cast<const membership_bytes&>(message.body);
    auto& process = self.state<membership_process>();
    process.received_bytes += body.bytes.size();
    const auto decoded = membership::decode(body.bytes);
    if (!decoded) {
        throw std::runtime_error("a membership message could not be decoded");
    }
    apply_effects(sim, self, process.table->receive(decoded.value(), sim.now()));
}

void refused(world& sim, vm& self, const envelope& message)
{
    const auto& body = std::any_cast<const membership_bytes&>(message.body);
    auto& table = *self.state<membership_process>().table;
    const auto id = sim.find(message.to).id;
    apply_effects(sim, self, table.connection_refused(id, body.expected, sim.now()));
}

} // namespace

void add_membership(world& sim)
{
    sim.add_module({.module = "membership",
                    .start = start,
                    .tick = tick,
                    .receive = receive,
                    .refused = refused});
}

membership::table& membership_of(world& sim, const std::string& vm_name)
{
    auto& process = sim.find(vm_name).state<membership_process>();
    if (!process.table) {
        throw std::runtime_error(fmt::format("the VM {} does not run", vm_name));
    }
    return *process.table;
}

membership::view view_of(world& sim, const std::string& vm_name)
{
    return membership_of(sim, vm_name).current(sim.now());
}

void leave_fleet(world& sim, const std::string& vm_name)
{
    auto& table = membership_of(sim, vm_name);
    apply_effects(sim, sim.find(vm_name), table.set_leaving(sim.now()));
}

bool reaches_platform(world& sim, const vm& machine)
{
    return std::ranges::none_of(sim.state<platform_lists>().unreachable_from,
                                [&](const auto& side) { return is_on_side(machine, side); });
}

void list_vm(world& sim, const std::string& vm_name)
{
    const auto& machine = sim.find(vm_name);
    auto& list = sim.state<platform_lists>().present;
    ++list.sequence;
    std::erase_if(list.vms, [&](const auto& each) { return each.name == vm_name; });
    list.vms.push_back({.name = machine.name,
                        .region = base::id_of<base::region_id>(machine.region),
                        .data_center = base::id_of<base::data_center_id>(machine.data_center),
                        .caller_address = machine.address,
                        .peer_address = machine.address});
}

void unlist_vm(world& sim, const std::string& vm_name)
{
    auto& list = sim.state<platform_lists>().present;
    ++list.sequence;
    std::erase_if(list.vms, [&](const auto& each) { return each.name == vm_name; });
}

void list_vm_leaving(world& sim, const std::string& vm_name)
{
    auto& list = sim.state<platform_lists>().present;
    const auto found = std::ranges::find(list.vms, vm_name, &membership::listed_vm::name);
    if (found == list.vms.end()) {
        throw std::runtime_error(fmt::format("the platform's list does not contain {}", vm_name));
    }
    ++list.sequence;
    found->leaving = true;
}

} // namespace chicorylink::scenario
