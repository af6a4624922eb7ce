#include "chicorylink/scenario/config_process.hpp"

#include "chicorylink/config/codec.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"
#include "chicorylink/scenario/membership_process.hpp"

#include <stdexcept>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

void carry_out(world& scene, vm& self, const config::effects& out)
{
    auto& process = self.state<config_process>();
    auto& table = membership_of(scene, self.name);
    for (const auto& each : out.send) {
        const auto* to = scene.find_by_id(each.to);
        if (to == nullptr) {
            continue;
        }
        auto bytes = config::encode(each.content);
        const auto size = bytes.size();
        process.sent_bytes += size;
        scene.send(self, to->name, "config.message", std::move(bytes), size);
    }
    if (out.watch) {
        ++scene.state<config_service>().calls;
        process.watch = {out.watch->after, scene.now() + out.watch->wait};
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
        process.in_force_at = scene.now();
        table.set_config_known(process.highest);
    }
    table.set_reaches_service(process.store->report().service_reachable);
}

const config_service::published* shown_version(world& scene, base::config_version& number)
{
    const auto& service = scene.state<config_service>();
    if (service.versions.empty()) {
        return nullptr;
    }
    const auto place = service.shown == base::config_version{}
                           ? std::prev(service.versions.end())
                           : service.versions.find(service.shown);
    number = place->first;
    return &place->second;
}

/// Answers the open watch of a process when it is due.
void answer_watch(world& scene, vm& self)
{
    auto& process = self.state<config_process>();
    if (!process.watch) {
        return;
    }
    const auto asked = *process.watch;
    const auto& seen = process.seen;
    const auto answer = [&](config::watch_result result, const std::string& text) {
        process.watch.reset();
        carry_out(scene, self, process.store->on_watch(result, text, seen, scene.now()));
    };
    if (!reaches_platform(scene, self)) {
        answer(config::watch_result::failed, {});
        return;
    }
    base::config_version number;
    const auto* shown = shown_version(scene, number);
    if (shown != nullptr && number > asked.after) {
        answer(config::watch_result::newer, shown->manifest);
    }
    else if (scene.now() >= asked.until) {
        answer(config::watch_result::unchanged, {});
    }
}

std::optional<std::string> part_of(world& scene, const vm& self, const base::digest& digest)
{
    auto& service = scene.state<config_service>();
    if (!reaches_platform(scene, self)) {
        return std::nullopt;
    }
    for (const auto& [number, each] : service.versions) {
        const auto place = each.parts.find(digest);
        if (place != each.parts.end()) {
            return service.corrupt ? place->second + "x" : place->second;
        }
    }
    return std::nullopt;
}

void answer_fetches(world& scene, vm& self)
{
    auto& process = self.state<config_process>();
    const auto fetches = std::exchange(process.fetches, {});
    for (const auto& digest : fetches) {
        ++scene.state<config_service>().calls;
        const auto content = part_of(scene, self, digest);
        carry_out(scene, self, process.store->on_part(digest, content, process.seen, scene.now()));
    }
}

void start(world& scene, vm& self)
{
    auto& process = self.state<config_process>();
    process.store.emplace(config::settings{.self = self.id, .process = self.process}, scene.now());
}

void tick(world& scene, vm& self)
{
    auto& process = self.state<config_process>();
    process.seen = view_of(scene, self.name);
    answer_watch(scene, self);
    answer_fetches(scene, self);
    carry_out(scene, self, process.store->tick(process.seen, scene.now()));
}

void receive(world& scene, vm& self, const envelope& message)
{
    const auto& bytes = std::any_cast<const std::vector<std::uint8_t>&>(message.body);
    auto& process = self.state<config_process>();
    process.received_bytes += bytes.size();
    const auto decoded = config::decode(bytes);
    if (!decoded) {
        throw std::runtime_error("a configuration message could not be read back");
    }
    carry_out(scene, self, process.store->receive(decoded.value(), process.seen, scene.now()));
}

} // namespace

void add_config(world& scene)
{
    add_membership(scene);
    scene.add_module(
        {.module = "config", .start = start, .tick = tick, .receive = receive, .refused = {}});
}

config::store& config_of(world& scene, const std::string& vm_name)
{
    auto& process = scene.find(vm_name).state<config_process>();
    if (!process.store) {
        throw std::runtime_error(fmt::format("the VM {} does not run", vm_name));
    }
    return *process.store;
}

std::uint64_t publish(world& scene, base::config_version version, const std::string& rules)
{
    auto& service = scene.state<config_service>();
    const auto parts = rules::split_rules(rules);
    const auto manifest = rules::make_manifest(version, "0123456789abcdef", parts);
    config_service::published made{.manifest = rules::print_manifest(manifest), .parts = {}};
    std::uint64_t new_bytes = made.manifest.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto& digest = manifest.parts[i].digest;
        const bool known =
            !service.versions.empty() && service.versions.rbegin()->second.parts.contains(digest);
        new_bytes += known ? 0 : parts[i].size();
        made.parts[digest] = parts[i];
    }
    service.versions[version] = std::move(made);
    return new_bytes;
}

} // namespace chicorylink::scenario
