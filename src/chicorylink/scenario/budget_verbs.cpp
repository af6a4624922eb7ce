#include "chicorylink/budget/codec.hpp"
#include "chicorylink/budget/engine.hpp"
#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"
#include "chicorylink/scenario/membership_process.hpp"
#include "chicorylink/scenario/verbs.hpp"

#include <algorithm>
#include <memory>
#include <stdexcept>

#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

/// Body of a message: the encoded bytes and the sender's incarnation.
struct message_body {
    base::incarnation process;
    std::vector<std::uint8_t> data;
};

/// One request that runs, or waits for a loan, at a simulated VM.
struct budget_request {
    budget::admission_request wanted;
    base::tokens used;
    base::nanoseconds hold{};
    budget::reservation_id id;
    bool admitted = false;
    bool confirmed = false;
    std::size_t event = 0;
    base::time_point ends{};
};

struct budget_process {
    std::shared_ptr<budget::engine> engine;
    std::vector<budget_request> requests;
};

/// The rules in force and all admissions, for the whole world.
struct budget_world {
    std::shared_ptr<const rules::rulebook> book;
    std::vector<budget::testing::phase> phases;
    std::vector<budget::testing::admitted> events;
    std::uint64_t refused = 0;
};

const base::team_id team = base::id_of<base::team_id>("team");

double seconds_of(world& sim)
{
    return std::chrono::duration<double>(sim.elapsed()).count();
}

void send_all(world& sim, vm& self, const budget::effects& result)
{
    if (result.messages.empty()) {
        return;
    }
    const auto snapshot = view_of(sim, self.name);
    const auto own = std::ranges::find(snapshot.members, self.id, &membership::member::id);
    const auto process = own != snapshot.members.end() ? own->process : self.process;
    for (const auto& each : result.messages) {
        const auto* to = sim.find_by_id(each.to);
        if (to != nullptr) {
            const auto data = budget::encode(each.body);
            sim.send(self, to->name, "budget.message", message_body{process, data}, data.size());
        }
    }
}

/// @return Whether the request is decided.
bool try_reserve(world& sim, vm& self, budget_request& request)
{
    auto& shared = sim.state<budget_world>();
    budget::effects result;
    auto& engine = *self.state<budget_process>().engine;
    const auto verdict = engine.reserve(request.wanted, sim.now(), result);
    send_all(sim, self, result);
    if (const auto* grant = std::get_if<budget::granted>(&verdict)) {
        request.admitted = true;
        request.id = grant->id;
        request.ends = sim.now() + request.hold;
        request.event = shared.events.size();
        shared.events.push_back(
            {seconds_of(sim), static_cast<double>(request.wanted.upper_bound.value())});
        return true;
    }
    shared.refused += std::holds_alternative<budget::refused>(verdict) ? 1 : 0;
    return std::holds_alternative<budget::refused>(verdict);
}

void settle_due(world& sim, vm& self)
{
    auto& process = self.state<budget_process>();
    std::erase_if(process.requests, [&](budget_request& each) {
        if (!each.admitted) {
            return try_reserve(sim, self, each) && !each.admitted;
        }
        if (each.ends > sim.now()) {
            return false;
        }
        sim.state<budget_world>().events[each.event].tokens =
            static_cast<double>(each.used.value());
        (void)process.engine->settle(each.id, each.used, sim.now());
        return true;
    });
}

void start_process(world& sim, vm& self)
{
    auto& process = self.state<budget_process>();
    const budget::identity own_identity{self.id, base::id_of<base::region_id>(self.region),
                                        self.process};
    process.engine = std::make_shared<budget::engine>(own_identity, budget::settings{}, sim.now());
    if (sim.state<budget_world>().book) {
        send_all(sim, self, process.engine->on_rules(sim.state<budget_world>().book, sim.now()));
    }
}

void tick_process(world& sim, vm& self)
{
    auto& engine = *self.state<budget_process>().engine;
    send_all(sim, self, engine.on_view(view_of(sim, self.name), sim.now()));
    send_all(sim, self, engine.tick(sim.now()));
    settle_due(sim, self);
}

void receive_message(world& sim, vm& self, const envelope& message)
{
    const auto& sent = std::any_cast<const message_body&>(message.body);
    const auto body = budget::decode(sent.data);
    const auto* from = &sim.find(message.from);
    auto& engine = *self.state<budget_process>().engine;
    send_all(sim, self, engine.on_message(from->id, sent.process, body.value(), sim.now()));
}

budget::engine& engine_of(world& sim, const std::string& name)
{
    auto& engine = sim.find(name).state<budget_process>().engine;
    if (!engine) {
        throw std::runtime_error("call use_budget() before the VMs are made");
    }
    return *engine;
}

/// use_budget(): VMs made from now on run a budget engine; call use_membership() first.
int use_budget_verb(lua_State* /*state*/, world& sim)
{
    sim.add_module({.module = "budget",
                    .start = start_process,
                    .tick = tick_process,
                    .receive = receive_message,
                    .refused = {}});
    return 0;
}

/// budget_rules(version, rate, burst, regions [, vm]): rules of one team, for all VMs or only `vm`.
int budget_rules_verb(lua_State* state, world& sim)
{
    const auto version = static_cast<std::uint64_t>(integer_argument(state, 1));
    rules::team tenant;
    tenant.id = team;
    tenant.name = "team";
    tenant.rate = base::tokens_per_second{integer_argument(state, 2)};
    tenant.burst = base::tokens{integer_argument(state, 3)};
    rules::rulebook_builder builder{base::config_version{version}};
    for (const auto letter : text_argument(state, 4)) {
        const std::string name(1, letter);
        builder.add(rules::region{base::id_of<base::region_id>(name), name, {}});
        tenant.regions.push_back(base::id_of<base::region_id>(name));
    }
    builder.add(tenant);
    auto& shared = sim.state<budget_world>();
    const auto book = builder.build().value();
    const auto only = lua_isnoneornil(state, 5) ? std::string{} : text_argument(state, 5);
    if (only.empty()) {
        shared.book = book;
        shared.phases.push_back({seconds_of(sim), static_cast<double>(tenant.rate.value()),
                                 static_cast<double>(tenant.burst.value())});
    }
    for (auto* each : sim.vms()) {
        if (each->running && (only.empty() || each->name == only)) {
            send_all(sim, *each, engine_of(sim, each->name).on_rules(book, sim.now()));
        }
    }
    return 0;
}

/// budget_load(vm, count, upper [, used [, hold_ms]]): requests at once; returns how many are
/// admitted by now. Others may wait for loans.
int budget_load_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    const auto count = integer_argument(state, 2);
    const base::tokens upper{integer_argument(state, 3)};
    const base::tokens used{integer_argument(state, 4, upper.value())};
    const std::chrono::milliseconds hold{integer_argument(state, 5, 0)};
    std::int64_t admitted = 0;
    for (std::int64_t index = 0; self.running && !self.paused && index < count; ++index) {
        budget_request request{{team, upper, sim.now()}, used, hold, {}};
        const bool decided = try_reserve(sim, self, request);
        admitted += request.admitted ? 1 : 0;
        if (!decided || request.admitted) {
            self.state<budget_process>().requests.push_back(request);
        }
    }
    return push(state, admitted);
}

/// budget_within(): whether every interval so far stays within rate and burst.
int budget_within_verb(lua_State* state, world& sim)
{
    const auto& shared = sim.state<budget_world>();
    return push(state, budget::testing::worst_excess(shared.events, shared.phases) <= 0);
}

/// budget_admitted(): the tokens admitted so far by all VMs.
int budget_admitted_verb(lua_State* state, world& sim)
{
    double sum = 0;
    for (const auto& each : sim.state<budget_world>().events) {
        sum += each.tokens;
    }
    return push(state, static_cast<std::int64_t>(sum));
}

/// budget_slots([vm]): the slots that a VM owns, or all running ones together.
int budget_slots_verb(lua_State* state, world& sim)
{
    const auto only = lua_isnoneornil(state, 1) ? std::string{} : text_argument(state, 1);
    std::size_t owned = 0;
    for (auto* each : sim.vms()) {
        if (each->running && !each->paused && (only.empty() || each->name == only)) {
            owned += engine_of(sim, each->name).owned_slot_count();
        }
    }
    return push(state, static_cast<std::int64_t>(owned));
}

/// budget_drain(vm): starts to drain the VM.
int budget_drain_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    send_all(sim, self, engine_of(sim, self.name).drain(sim.now()));
    return 0;
}

int budget_drained_verb(lua_State* state, world& sim)
{
    return push(state, engine_of(sim, text_argument(state, 1)).drained());
}

/// budget_confirm(vm): whether the newest reservation of a VM may still be used.
int budget_confirm_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    const auto& requests = self.state<budget_process>().requests;
    return push(state, !requests.empty() &&
                           engine_of(sim, self.name).confirm(requests.back().id, sim.now()));
}

} // namespace

void register_budget_verbs(lua_State* state)
{
    add_verb(state, "use_budget", use_budget_verb);
    add_verb(state, "budget_rules", budget_rules_verb);
    add_verb(state, "budget_load", budget_load_verb);
    add_verb(state, "budget_within", budget_within_verb);
    add_verb(state, "budget_admitted", budget_admitted_verb);
    add_verb(state, "budget_slots", budget_slots_verb);
    add_verb(state, "budget_drain", budget_drain_verb);
    add_verb(state, "budget_drained", budget_drained_verb);
    add_verb(state, "budget_confirm", budget_confirm_verb);
}

} // namespace chicorylink::scenario
