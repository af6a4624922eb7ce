#include "chicorylink/scenario/config_process.hpp"

#include "chicorylink/config/codec.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"
#include "chicorylink/scenario/membership_process.hpp"

#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

void apply_effects(world& sim, vm& self, const config::effects& out)
{
    auto& process = self.state<config_process>();
    auto& table = membership_of(sim, self.name);
    for (const auto& each : out.send) {
        const auto* to = sim.find_by_id(each.to);
        if (to == nullptr) {
            continue;
        }
        auto bytes = config::encode(each.content);
        const auto size = bytes.size();
        process.sent_bytes += size;
        sim.send(self, to->name, "config.message", std::move(bytes), size);
    }
    if (out.watch) {
        ++sim.state<config_service>().calls;
        process.watch = {out.watch->after, sim.now() + out.watch->wait};
    }
    process.fetches.insert(process.fetches.end(), out.fetch.begin(), out.fetch.end());
    process.audit_entries += out.audit.size();
    if (out.apply) {
        if (out.apply->version() <= process.highest) {
            throw std::runtime_error(fmt::format("{} went back from version {} to {}", self.name,
                                                 process.highest.value(),
                                                 out.apply->version().value()));
        }
        process.highest = out.apply->version();
        process.in_force_at = sim.now();
        table.set_config_known(process.highest);
    }
    table.set_reaches_service(process.store->report().service_reachable);
}

const config_service::published* served_version(world& sim, base::config_version& number)
{
    const auto& service = sim.state<config_service>();
    if (service.versions.empty()) {
        return nullptr;
    }
    const auto found = service.served == base::config_version{}
                           ? std::prev(service.versions.end())
                           : service.versions.find(service.served);
    number = found->first;
    return &found->second;
}

/// Answers the open watch of a process on a new version, a timeout or an unreachable service.
void answer_watch(world& sim, vm& self)
{
    auto& process = self.state<config_process>();
    if (!process.watch) {
        return;
    }
    const auto pending = *process.watch;
    const auto& snapshot = process.snapshot;
    const auto answer = [&](config::watch_result result, const std::string& text) {
        process.watch.reset();
        apply_effects(sim, self, process.store->on_watch(result, text, snapshot, sim.now()));
    };
    if (!reaches_platform(sim, self)) {
        answer(config::watch_result::failed, {});
        return;
    }
    base::config_version number;
    const auto* served = served_version(sim, number);
    if (served != nullptr && number > pending.after) {
        answer(config::watch_result::newer, served->manifest);
    }
    else if (sim.now() >= pending.until) {
        answer(config::watch_result::unchanged, {});
    }
}

std::optional<std::string> part_of(world& sim, const vm& self, const base::digest& digest)
{
    auto& service = sim.state<config_service>();
    if (!reaches_platform(sim, self)) {
        return std::nullopt;
    }
    for (const auto& [number, each] : service.versions) {
        const auto found = each.parts.find(digest);
        if (found != each.parts.end()) {
            return service.corrupt ? found->second + "x" : found->second;
        }
    }
    return std::nullopt;
}

void answer_fetches(world& sim, vm& self)
{
    auto& process = self.state<config_process>();
    const auto fetches = std::exchange(process.fetches, {});
    for (const auto& digest : fetches) {
        ++sim.state<config_service>().calls;
        const auto content = part_of(sim, self, digest);
        apply_effects(sim, self,
                      process.store->on_part(digest, content, process.snapshot, sim.now()));
    }
}

void start(world& sim, vm& self)
{
    auto& process = self.state<config_process>();
    process.store.emplace(config::settings{.self = self.id, .process = self.process}, sim.now());
}

void tick(world& sim, vm& self)
{
    auto& process = self.state<config_process>();
    process.snapshot = view_of(sim, self.name);
    answer_watch(sim, self);
    answer_fetches(sim, self);
    apply_effects(sim, self, process.store->tick(process.snapshot, sim.now()));
}

void receive(world& sim, vm& self, const envelope& message)
{
    const auto& bytes = std::any_cast<const std::vector<std::uint8_t>&>(message.body);
    auto& process = self.state<config_process>();
    process.received_bytes += bytes.size();
    const auto decoded = config::decode(bytes);
    if (!decoded) {
        throw std::runtime_error("a configuration message could not be decoded");
    }
    apply_effects(sim, self, process.store->receive(decoded.value(), process.snapshot, sim.now()));
}

} // namespace

void add_config(world& sim)
{
    add_membership(sim);
    sim.add_module(
        {.module = "config", .start = start, .tick = tick, .receive = receive, .refused = {}});
}

config::store& config_of(world& sim, const std::string& vm_name)
{
    auto& process = sim.find(vm_name).state<config_process>();
    if (!process.store) {
        throw std::runtime_error(fmt::format("the VM {} does not run", vm_name));
    }
    return *process.store;
}

std::uint64_t publish(world& sim, base::config_version version, const std::string& rules)
{
    auto& service = sim.state<config_service>();
    const auto parts = rules::split_rules(rules);
    const auto manifest = rules::make_manifest(version, "0123456789abcdef", parts);
    config_service::published new_version{.manifest = rules::print_manifest(manifest), .parts = {}};
    std::uint64_t new_bytes = new_version.manifest.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto& digest = manifest.parts[i].digest;
        const bool known =
            !service.versions.empty() && service.versions.rbegin()->second.parts.contains(digest);
        new_bytes += known ? 0 : parts[i].size();
        new_version.parts[digest] = parts[i];
    }
    service.versions[version] = std::move(new_version);
    return new_bytes;
}

} // namespace chicorylink::scenario
