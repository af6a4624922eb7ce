#include "chicorylink/base/ids.hpp"
#include "chicorylink/routing/codec.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/scenario/verbs.hpp"
#include "chicorylink/scenario/world.hpp"

#include <map>
#include <memory>
#include <stdexcept>

#include <fmt/format.h>
#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

using base::id_of;
using base::milliseconds;

constexpr milliseconds summary_period{1000};

/// The rules of all routers in a scenario.
struct routing_rules {
    std::shared_ptr<const rules::rulebook> book;
    std::uint64_t version = 0;
};

/// The router of one process and its last decision on each request.
struct routing_process {
    std::shared_ptr<routing::router> router;
    std::map<std::uint64_t, routing::decision> decisions;
    base::time_point next_summary{};
};

/// Defaults of routing_submit.
constexpr std::int64_t default_prompt_tokens = 500;
constexpr std::int64_t default_answer_tokens = 100;
constexpr std::int64_t default_timeout_ms = 20'000;

void record_decisions(routing_process& process, const std::vector<routing::decision>& new_decisions)
{
    for (const auto& one : new_decisions) {
        process.decisions[one.id.value()] = one;
    }
}

std::uint32_t vms_in_region(world& sim, const vm& self)
{
    std::uint32_t count = 0;
    for (const auto* other : sim.vms()) {
        count += other->region == self.region ? 1U : 0U;
    }
    return count;
}

void start(world& sim, vm& self)
{
    auto& process = self.state<routing_process>();
    process.router = std::make_shared<routing::router>(
        routing::router_settings{.region = id_of<base::region_id>(self.region),
                                 .self = self.id,
                                 .process = self.process,
                                 .seed = sim.random()()});
    if (const auto& book = sim.state<routing_rules>().book) {
        record_decisions(process, process.router->on_rules(book, sim.now()));
    }
}

void tick(world& sim, vm& self)
{
    auto& process = self.state<routing_process>();
    process.router->on_region_vms(vms_in_region(sim, self));
    record_decisions(process, process.router->tick(sim.now()));
    if (sim.now() < process.next_summary) {
        return;
    }
    process.next_summary = sim.now() + summary_period;
    const auto bytes = routing::encode(process.router->summary(sim.now()));
    for (const auto* other : sim.vms()) {
        if (other->region != self.region) {
            sim.send(self, other->name, "routing.summary", bytes, bytes.size());
        }
    }
}

void receive(world& sim, vm& self, const envelope& message)
{
    const auto& bytes = std::any_cast<const std::vector<std::uint8_t>&>(message.body);
    const auto summary = routing::decode(bytes);
    if (summary) {
        self.state<routing_process>().router->on_region_summary(*summary, sim.now());
    }
}

routing_process& process_of(world& sim, const std::string& name)
{
    auto& process = sim.find(name).state<routing_process>();
    if (!process.router) {
        throw std::runtime_error(fmt::format("the VM {} does not run a router", name));
    }
    return process;
}

base::route_id route_named(lua_State* state, int position)
{
    return id_of<base::route_id>(text_field(state, position, "route", "chat"));
}

/// use_routing(): VMs made from now on run a router.
int use_routing_verb(lua_State* /*state*/, world& sim)
{
    sim.add_module(
        {.module = "routing", .start = start, .tick = tick, .receive = receive, .refused = {}});
    return 0;
}

/// routing_rules(text): the rules in force at all VMs, now and at their start.
int routing_rules_verb(lua_State* state, world& sim)
{
    auto& shared = sim.state<routing_rules>();
    const auto outcome =
        rules::parse_rules(text_argument(state, 1),
                           {.version = base::config_version{++shared.version}, .vm_addresses = {}});
    if (!outcome.book) {
        throw std::runtime_error(fmt::format("the rules have {} faults", outcome.errors.size()));
    }
    shared.book = outcome.book;
    for (auto* each : sim.vms()) {
        auto& process = each->state<routing_process>();
        if (process.router) {
            record_decisions(process, process.router->on_rules(outcome.book, sim.now()));
        }
    }
    return 0;
}

/// routing_submit(vm, id, team, {route=, prompt=, answer=, session=, hop=, priority=, patience=}):
/// submits a request; `routing_decision` returns the decision.
int submit_verb(lua_State* state, world& sim)
{
    auto& process = process_of(sim, text_argument(state, 1));
    constexpr int options = 4;
    const routing::request submitted{
        .id = routing::request_id{static_cast<std::uint64_t>(integer_argument(state, 2))},
        .team = id_of<base::team_id>(text_argument(state, 3)),
        .route = route_named(state, options),
        .order = static_cast<rules::priority>(integer_field(state, options, "priority", 1)),
        .prompt_tokens =
            base::tokens{integer_field(state, options, "prompt", default_prompt_tokens)},
        .answer_tokens =
            base::tokens{integer_field(state, options, "answer", default_answer_tokens)},
        .prefix = {.session = routing::prefix_hash{static_cast<std::uint64_t>(
                       integer_field(state, options, "session", 0))},
                   .blocks = {}},
        .deadline =
            sim.now() + milliseconds{integer_field(state, options, "patience", default_timeout_ms)},
        .hop = static_cast<std::uint8_t>(integer_field(state, options, "hop", 0)),
        .tried = {},
        .tried_regions = {}};
    record_decisions(process, {process.router->submit(submitted, sim.now())});
    return 0;
}

/// routing_decision(vm, id): its kind and the target's name, the region's name or the reason.
int decision_verb(lua_State* state, world& sim)
{
    const auto& process = process_of(sim, text_argument(state, 1));
    const auto& last_decision =
        process.decisions.at(static_cast<std::uint64_t>(integer_argument(state, 2)));
    const auto& book = *sim.state<routing_rules>().book;
    switch (last_decision.kind) {
    case routing::decision_kind::dispatched:
        return push(state, std::string("dispatched")) +
               push(state, book.find(last_decision.target)->name);
    case routing::decision_kind::queued:
        return push(state, std::string("queued"));
    case routing::decision_kind::forward:
        return push(state, std::string("forward")) +
               push(state, book.find(last_decision.region)->name);
    case routing::decision_kind::refused:
        break;
    }
    return push(state, std::string("refused")) +
           push(state, std::string(routing::to_string(last_decision.reason))) +
           push(state, static_cast<std::int64_t>(last_decision.retry_after.count()));
}

/// routing_first_token(vm, id, latency_ms)
int first_token_verb(lua_State* state, world& sim)
{
    const auto& process = process_of(sim, text_argument(state, 1));
    const routing::request_id id{static_cast<std::uint64_t>(integer_argument(state, 2))};
    process.router->on_first_token(id, route_named(state, 4),
                                   milliseconds{integer_argument(state, 3)}, sim.now());
    return 0;
}

/// routing_finish(vm, id, {failed=1, latency=ms}): the attempt ended.
int finish_verb(lua_State* state, world& sim)
{
    auto& process = process_of(sim, text_argument(state, 1));
    const auto failed = integer_field(state, 3, "failed", 0) != 0;
    record_decisions(
        process,
        process.router->on_attempt_finished(
            {.id = routing::request_id{static_cast<std::uint64_t>(integer_argument(state, 2))},
             .route = route_named(state, 3),
             .outcome =
                 failed ? routing::attempt_outcome::failed : routing::attempt_outcome::succeeded,
             .latency = milliseconds{integer_field(state, 3, "latency", 1000)}},
            sim.now()));
    return 0;
}

/// routing_report(vm, target, running, {waiting=, age=}): a load report arrives.
int report_verb(lua_State* state, world& sim)
{
    auto& process = process_of(sim, text_argument(state, 1));
    const routing::load_report report{
        .running = static_cast<std::uint32_t>(integer_argument(state, 3)),
        .waiting = static_cast<std::uint32_t>(integer_field(state, 4, "waiting", 0)),
        .age = milliseconds{integer_field(state, 4, "age", 0)}};
    record_decisions(
        process, process.router->on_target_report(id_of<base::target_id>(text_argument(state, 2)),
                                                  report, sim.now()));
    return 0;
}

/// routing_target(vm, target, leaving): the platform's list shows it as leaving, or as live
/// again.
int target_state_verb(lua_State* state, world& sim)
{
    const auto& process = process_of(sim, text_argument(state, 1));
    const auto leaving = boolean_argument(state, 3, true);
    process.router->on_target_state(id_of<base::target_id>(text_argument(state, 2)),
                                    leaving ? routing::target_availability::leaving
                                            : routing::target_availability::live,
                                    sim.now());
    return 0;
}

/// routing_queued(vm): the number of requests queued at the VM.
int queued_verb(lua_State* state, world& sim)
{
    const auto& process = process_of(sim, text_argument(state, 1));
    return push(state, static_cast<std::int64_t>(process.router->queued()));
}

} // namespace

void register_routing_verbs(lua_State* state)
{
    add_verb(state, "use_routing", use_routing_verb);
    add_verb(state, "routing_rules", routing_rules_verb);
    add_verb(state, "routing_submit", submit_verb);
    add_verb(state, "routing_decision", decision_verb);
    add_verb(state, "routing_first_token", first_token_verb);
    add_verb(state, "routing_finish", finish_verb);
    add_verb(state, "routing_report", report_verb);
    add_verb(state, "routing_target", target_state_verb);
    add_verb(state, "routing_queued", queued_verb);
}

} // namespace chicorylink::scenario
