#include "chicorylink/scenario/membership_process.hpp"

#include "chicorylink/membership/codec.hpp"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

constexpr base::milliseconds list_poll{2'000};
constexpr base::time_point epoch{};

/// A message as it travels, with the process that the sender expected at the address.
struct membership_bytes {
    std::vector<std::uint8_t> bytes;
    base::incarnation expected;
};

bool stands_on(const vm& which, const std::string& side)
{
    return side == which.name || side == which.data_center || side == which.region;
}

vm* at_address(world& scene, const membership::outgoing& message)
{
    for (auto* each : scene.vms()) {
        if (each->running && each->address == message.address) {
            return each;
        }
    }
    return scene.find_by_id(message.to);
}

std::uint64_t started_ms(const world& scene)
{
    const auto since = scene.now() - epoch;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(since).count());
}

void carry_out(world& scene, vm& self, const membership::effects& out)
{
    auto& process = self.state<membership_process>();
    for (const auto& each : out.send) {
        auto* to = at_address(scene, each);
        if (to == nullptr) {
            continue;
        }
        membership_bytes body{membership::encode(each.content), process.table->process_of(each.to)};
        const auto size = body.bytes.size();
        process.sent_bytes += size;
        ++process.messages;
        scene.send(self, to->name, "membership.message", std::move(body), size);
    }
}

membership::platform_list list_for(world& scene, const vm& which)
{
    const auto& lists = scene.state<platform_lists>();
    for (const auto& [side, frozen] : lists.frozen) {
        if (stands_on(which, side)) {
            auto list = frozen.list;
            if (frozen.honest) {
                list.age +=
                    std::chrono::duration_cast<base::milliseconds>(scene.now() - frozen.since);
            }
            return list;
        }
    }
    return lists.present;
}

void poll_list(world& scene, vm& self)
{
    auto& process = self.state<membership_process>();
    if (scene.now() < process.next_poll) {
        return;
    }
    process.next_poll = scene.now() + list_poll;
    if (!reaches_platform(scene, self)) {
        return;
    }
    ++scene.state<platform_lists>().calls;
    carry_out(scene, self, process.table->on_list(list_for(scene, self), scene.now(), scene.now()));
}

void start(world& scene, vm& self)
{
    membership::identity who{.name = self.name,
                             .region = base::id_of<base::region_id>(self.region),
                             .data_center = base::id_of<base::data_center_id>(self.data_center),
                             .caller_address = self.address,
                             .peer_address = self.address,
                             .process = self.process,
                             .started_ms = started_ms(scene)};
    auto& process = self.state<membership_process>();
    process.table.emplace(std::move(who), membership::timing{}, scene.now());
    process.next_poll = scene.now();
}

void tick(world& scene, vm& self)
{
    auto& process = self.state<membership_process>();
    if (process.table->must_renew()) {
        self.process = base::incarnation{scene.random()() | 1U};
        process.table->renew(self.process, started_ms(scene), scene.now());
        ++process.renewals;
    }
    poll_list(scene, self);
    carry_out(scene, self, process.table->tick(scene.now()));
}

void receive(world& scene, vm& self, const envelope& message)
{
    const auto& body = std::any_cast<const membership_bytes&>(message.body);
    auto& process = self.state<membership_process>();
    process.received_bytes += body.bytes.size();
    const auto decoded = membership::decode(body.bytes);
    if (!decoded) {
        throw std::runtime_error("a membership message could not be read back");
    }
    carry_out(scene, self, process.table->receive(decoded.value(), scene.now()));
}

void refused(world& scene, vm& self, const envelope& message)
{
    const auto& body = std::any_cast<const membership_bytes&>(message.body);
    auto& table = *self.state<membership_process>().table;
    const auto id = scene.find(message.to).id;
    carry_out(scene, self, table.connection_refused(id, body.expected, scene.now()));
}

} // namespace

void add_membership(world& scene)
{
    scene.add_module({.module = "membership",
                      .start = start,
                      .tick = tick,
                      .receive = receive,
                      .refused = refused});
}

membership::table& membership_of(world& scene, const std::string& vm_name)
{
    auto& process = scene.find(vm_name).state<membership_process>();
    if (!process.table) {
        throw std::runtime_error(fmt::format("the VM {} does not run", vm_name));
    }
    return *process.table;
}

membership::view view_of(world& scene, const std::string& vm_name)
{
    return membership_of(scene, vm_name).current(scene.now());
}

void leave_fleet(world& scene, const std::string& vm_name)
{
    auto& table = membership_of(scene, vm_name);
    carry_out(scene, scene.find(vm_name), table.set_leaving(scene.now()));
}

bool reaches_platform(world& scene, const vm& which)
{
    return std::ranges::none_of(scene.state<platform_lists>().unreachable_from,
                                [&](const auto& side) { return stands_on(which, side); });
}

void list_vm(world& scene, const std::string& vm_name)
{
    const auto& which = scene.find(vm_name);
    auto& list = scene.state<platform_lists>().present;
    ++list.sequence;
    std::erase_if(list.vms, [&](const auto& each) { return each.name == vm_name; });
    list.vms.push_back({.name = which.name,
                        .region = base::id_of<base::region_id>(which.region),
                        .data_center = base::id_of<base::data_center_id>(which.data_center),
                        .caller_address = which.address,
                        .peer_address = which.address});
}

void unlist_vm(world& scene, const std::string& vm_name)
{
    auto& list = scene.state<platform_lists>().present;
    ++list.sequence;
    std::erase_if(list.vms, [&](const auto& each) { return each.name == vm_name; });
}

void list_vm_leaving(world& scene, const std::string& vm_name)
{
    auto& list = scene.state<platform_lists>().present;
    const auto place = std::ranges::find(list.vms, vm_name, &membership::listed_vm::name);
    if (place == list.vms.end()) {
        throw std::runtime_error(fmt::format("the list does not show {}", vm_name));
    }
    ++list.sequence;
    place->leaving = true;
}

} // namespace chicorylink::scenario
