#include "chicorylink/dispatch/executor_choice.hpp"
#include "chicorylink/scenario/dispatch_process.hpp"
#include "chicorylink/scenario/verbs.hpp"
#include "chicorylink/scenario/world.hpp"

#include <optional>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::scenario {
namespace {

using dispatch::attempt_event;
using dispatch::attempt_id;
using dispatch::outcome;
using dispatch::ticket_verdict;

const dispatch::ticket_keys keys{.current = "scenario", .previous = {}};
constexpr base::team_id team{1};
constexpr base::route_id route{1};

/// A request on its way to its executor.
struct forward_message {
    std::string ticket;
    std::string body;
    attempt_id sender;
};

/// The executor's reply.
struct reply_message {
    attempt_id sender;
    std::string verdict;
    outcome result = outcome::unknown;
};

dispatch_process& process_of(vm& self)
{
    return self.state<dispatch_process>();
}

void start(world& sim, vm& self)
{
    dispatch::ticket_settings settings;
    settings.self = self.id;
    settings.process = self.process;
    settings.epoch = sim.now();
    process_of(self).tickets = std::make_shared<dispatch::ticket_table>(settings);
}

dispatch::ticket ticket_of(const std::string& text)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<dispatch::ticket> { return dispatch::ticket_from_text(text, keys); },
        [](const base::error& failure) -> dispatch::ticket {
            throw std::runtime_error(base::describe(failure));
        },
        []() -> dispatch::ticket { throw std::runtime_error("the ticket can't be read"); });
}

std::string text_of(std::string_view verdict, outcome result)
{
    return fmt::format("{} {}", verdict, dispatch::to_string(result));
}

void send_result(world& sim, const vm& self, const dispatch_task& task, const std::string& verdict,
                 outcome result)
{
    if (!task.reply_to.empty()) {
        sim.send(self, task.reply_to, "dispatch.reply", reply_message{task.holder, verdict, result},
                 sizeof(reply_message));
        return;
    }
    auto& shared = sim.state<dispatch_world>();
    const auto found = shared.requests.find({self.name, task.current_attempt.id});
    if (found != shared.requests.end()) {
        shared.answers[found->second] = text_of(verdict, result);
    }
}

dispatch_task& add_task(vm& self, dispatch_task task, base::time_point deadline)
{
    auto& own = process_of(self);
    task.current_attempt.id = {self.process, ++own.last_attempt};
    task.current_attempt.deadline = deadline;
    return own.tasks[own.last_attempt] = std::move(task);
}

/// Decides at the executor whether a request runs; replies and drops it otherwise.
void execute(world& sim, vm& self, dispatch_task& task)
{
    auto& own = process_of(self);
    const auto decision =
        own.tickets->begin(task.ticket, base::sha256({}, task.body), task.holder, sim.now());
    if (decision.verdict != ticket_verdict::run) {
        send_result(sim, self, task, std::string{to_string(decision.verdict)}, decision.result);
        own.tasks.erase(task.current_attempt.id.counter);
    }
}

void receive(world& sim, vm& self, const envelope& message)
{
    auto& own = process_of(self);
    if (message.kind == "dispatch.forward") {
        const auto& forward = std::any_cast<const forward_message&>(message.body);
        auto& task = add_task(self,
                              {.ticket = ticket_of(forward.ticket),
                               .body = forward.body,
                               .reply_to = message.from,
                               .holder = forward.sender},
                              base::time_point::max());
        execute(sim, self, task);
        return;
    }
    const auto& reply = std::any_cast<const reply_message&>(message.body);
    const auto found = own.tasks.find(reply.sender.counter);
    if (found == own.tasks.end() || found->second.current_attempt.id != reply.sender) {
        return;
    }
    send_result(sim, self, found->second, reply.verdict, reply.result);
    own.tasks.erase(found);
}

void end_task(world& sim, vm& self, dispatch_task task, const char* verdict)
{
    auto& own = process_of(self);
    own.tasks.erase(task.current_attempt.id.counter);
    auto result = *task.current_attempt.result;
    if (task.forwarded) {
        if (result == outcome::not_run) {
            result = dispatch::outcome_of_entry_refusal(true, task.first_attempt);
        }
    }
    else {
        std::optional<dispatch::stored_response> answer;
        if (task.current_attempt.state == dispatch::attempt_state::complete) {
            answer.emplace();
        }
        own.tickets->end(task.ticket, task.holder, result, std::move(answer));
    }
    send_result(sim, self, task, verdict, result);
}

/// A refused connection confirms that the request was not sent.
void refused(world& sim, vm& self, const envelope& message)
{
    const auto* const forward = std::any_cast<forward_message>(&message.body);
    auto& own = process_of(self);
    const auto found =
        forward == nullptr ? own.tasks.end() : own.tasks.find(forward->sender.counter);
    if (found != own.tasks.end()) {
        apply(found->second.current_attempt, attempt_event::confirmed_not_run);
        end_task(sim, self, found->second, "unreachable");
    }
}

/// The oldest task of a VM; scripts run one at a time.
dispatch_task& oldest_task(vm& self)
{
    auto& tasks = process_of(self).tasks;
    if (tasks.empty()) {
        throw std::runtime_error(fmt::format("{} has no request in progress", self.name));
    }
    return tasks.begin()->second;
}

/// dispatch_ticket(vm): the text of a ticket that the VM issues.
int ticket_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    const auto issued = base::leaf::try_handle_all(
        [&]() -> base::result<dispatch::ticket> {
            return process_of(self).tickets->issue(team, route, sim.now());
        },
        [](const base::error& failure) -> dispatch::ticket {
            throw std::runtime_error(base::describe(failure));
        },
        []() -> dispatch::ticket { throw std::runtime_error("no ticket"); });
    return push(state, dispatch::to_text(issued, keys));
}

/// dispatch_request(vm, ticket, body, {deadline =, first =}): its number.
int request_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    auto& shared = sim.state<dispatch_world>();
    const auto number = ++shared.last_request;
    const auto deadline = base::milliseconds{integer_field(state, 4, "deadline", 30'000)};
    auto& task = add_task(self,
                          {.ticket = ticket_of(text_argument(state, 2)),
                           .body = text_argument(state, 3),
                           .first_attempt = integer_field(state, 4, "first", 0) != 0},
                          sim.now() + deadline);
    task.holder = task.current_attempt.id;
    shared.answers[number] = "pending";
    shared.requests[{self.name, task.current_attempt.id}] = number;
    task.forwarded = task.ticket.executor != self.id;
    if (!task.forwarded) {
        execute(sim, self, task);
    }
    return push(state, number);
}

/// dispatch_write(vm): the VM writes its request, to the executor or to the target, unless its
/// deadline has passed.
int write_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    auto& task = oldest_task(self);
    if (!begin_write(task.current_attempt, sim.now())) {
        end_task(sim, self, task, "timed_out");
        return push(state, false);
    }
    if (task.forwarded) {
        auto* const executor = sim.find_by_id(task.ticket.executor);
        sim.send(self, executor->name, "dispatch.forward",
                 forward_message{dispatch::to_text(task.ticket, keys), task.body,
                                 task.current_attempt.id},
                 task.body.size());
    }
    else {
        ++sim.state<dispatch_world>().runs[task.body];
    }
    return push(state, true);
}

/// dispatch_answer(vm): the target's complete response arrives at the executor.
int answer_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    auto& task = oldest_task(self);
    apply(task.current_attempt, attempt_event::response_begun);
    apply(task.current_attempt, attempt_event::response_complete);
    end_task(sim, self, task, "answered");
    return 0;
}

/// dispatch_lose(vm): the VM's connection for the request is lost.
int lose_verb(lua_State* state, world& sim)
{
    auto& self = sim.find(text_argument(state, 1));
    auto& task = oldest_task(self);
    apply(task.current_attempt, attempt_event::lost);
    end_task(sim, self, task, "lost");
    return 0;
}

/// dispatch_close(vm): the VM drains.
int close_verb(lua_State* state, world& sim)
{
    process_of(sim.find(text_argument(state, 1))).tickets->close();
    return 0;
}

/// dispatch_outcome(number): "verdict outcome" as the caller was told, or "pending".
int outcome_verb(lua_State* state, world& sim)
{
    return push(state, sim.state<dispatch_world>().answers[integer_argument(state, 1)]);
}

/// dispatch_runs(body): how often the target ran it.
int runs_verb(lua_State* state, world& sim)
{
    return push(state, sim.state<dispatch_world>().runs[text_argument(state, 1)]);
}

} // namespace

void register_dispatch_verbs(lua_State* state)
{
    world_of(state).add_module(
        {.module = "dispatch", .start = start, .tick = {}, .receive = receive, .refused = refused});
    add_verb(state, "dispatch_ticket", ticket_verb);
    add_verb(state, "dispatch_request", request_verb);
    add_verb(state, "dispatch_write", write_verb);
    add_verb(state, "dispatch_answer", answer_verb);
    add_verb(state, "dispatch_lose", lose_verb);
    add_verb(state, "dispatch_close", close_verb);
    add_verb(state, "dispatch_outcome", outcome_verb);
    add_verb(state, "dispatch_runs", runs_verb);
}

} // namespace chicorylink::scenario
