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

/// The executor's answer.
struct reply_message {
    attempt_id sender;
    std::string verdict;
    outcome result = outcome::unknown;
};

dispatch_process& process_of(vm& self)
{
    return self.state<dispatch_process>();
}

void start(world& scene, vm& self)
{
    dispatch::ticket_settings settings;
    settings.self = self.id;
    settings.process = self.process;
    settings.epoch = scene.now();
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

void tell(world& scene, const vm& self, const dispatch_task& work, const std::string& verdict,
          outcome result)
{
    if (!work.reply_to.empty()) {
        scene.send(self, work.reply_to, "dispatch.reply",
                   reply_message{work.holder, verdict, result}, sizeof(reply_message));
        return;
    }
    auto& outside = scene.state<dispatch_outside>();
    const auto found = outside.requests.find({self.name, work.tried.id});
    if (found != outside.requests.end()) {
        outside.answers[found->second] = text_of(verdict, result);
    }
}

dispatch_task& add_task(vm& self, dispatch_task work, base::time_point deadline)
{
    auto& own = process_of(self);
    work.tried.id = {self.process, ++own.last_attempt};
    work.tried.deadline = deadline;
    return own.tasks[own.last_attempt] = std::move(work);
}

/// The executor decides on a request and keeps it when it is to run.
void execute(world& scene, vm& self, dispatch_task& work)
{
    auto& own = process_of(self);
    const auto decision =
        own.tickets->begin(work.ticket, base::sha256({}, work.body), work.holder, scene.now());
    if (decision.verdict != ticket_verdict::run) {
        tell(scene, self, work, std::string{to_string(decision.verdict)}, decision.result);
        own.tasks.erase(work.tried.id.counter);
    }
}

void receive(world& scene, vm& self, const envelope& message)
{
    auto& own = process_of(self);
    if (message.kind == "dispatch.forward") {
        const auto& forward = std::any_cast<const forward_message&>(message.body);
        auto& work = add_task(self,
                              {.ticket = ticket_of(forward.ticket),
                               .body = forward.body,
                               .reply_to = message.from,
                               .holder = forward.sender},
                              base::time_point::max());
        execute(scene, self, work);
        return;
    }
    const auto& reply = std::any_cast<const reply_message&>(message.body);
    const auto found = own.tasks.find(reply.sender.counter);
    if (found == own.tasks.end() || found->second.tried.id != reply.sender) {
        return;
    }
    tell(scene, self, found->second, reply.verdict, reply.result);
    own.tasks.erase(found);
}

void end_task(world& scene, vm& self, dispatch_task work, const char* verdict)
{
    auto& own = process_of(self);
    own.tasks.erase(work.tried.id.counter);
    auto result = *work.tried.result;
    if (work.forwarded) {
        if (result == outcome::not_run) {
            result = dispatch::outcome_of_entry_refusal(true, work.first_attempt);
        }
    }
    else {
        std::optional<dispatch::stored_answer> answer;
        if (work.tried.state == dispatch::attempt_state::complete) {
            answer.emplace();
        }
        own.tickets->end(work.ticket, work.holder, result, std::move(answer));
    }
    tell(scene, self, work, verdict, result);
}

/// A connection that is refused proves that the request did not leave.
void refused(world& scene, vm& self, const envelope& message)
{
    const auto* const forward = std::any_cast<forward_message>(&message.body);
    auto& own = process_of(self);
    const auto found =
        forward == nullptr ? own.tasks.end() : own.tasks.find(forward->sender.counter);
    if (found != own.tasks.end()) {
        apply(found->second.tried, attempt_event::proved_not_run);
        end_task(scene, self, found->second, "unreachable");
    }
}

/// The oldest task of a VM; scripts run one at a time.
dispatch_task& only_task(vm& self)
{
    auto& tasks = process_of(self).tasks;
    if (tasks.empty()) {
        throw std::runtime_error(fmt::format("{} has no request in hand", self.name));
    }
    return tasks.begin()->second;
}

/// dispatch_ticket(vm): the text of a ticket that the VM issues.
int ticket_verb(lua_State* state, world& scene)
{
    auto& self = scene.find(text_argument(state, 1));
    const auto issued = base::leaf::try_handle_all(
        [&]() -> base::result<dispatch::ticket> {
            return process_of(self).tickets->issue(team, route, scene.now());
        },
        [](const base::error& failure) -> dispatch::ticket {
            throw std::runtime_error(base::describe(failure));
        },
        []() -> dispatch::ticket { throw std::runtime_error("no ticket"); });
    return push(state, dispatch::to_text(issued, keys));
}

/// dispatch_request(vm, ticket, body, {deadline =, first =}): its number.
int request_verb(lua_State* state, world& scene)
{
    auto& self = scene.find(text_argument(state, 1));
    auto& outside = scene.state<dispatch_outside>();
    const auto number = ++outside.last_request;
    const auto deadline = base::milliseconds{integer_field(state, 4, "deadline", 30'000)};
    auto& work = add_task(self,
                          {.ticket = ticket_of(text_argument(state, 2)),
                           .body = text_argument(state, 3),
                           .first_attempt = integer_field(state, 4, "first", 0) != 0},
                          scene.now() + deadline);
    work.holder = work.tried.id;
    outside.answers[number] = "pending";
    outside.requests[{self.name, work.tried.id}] = number;
    work.forwarded = work.ticket.executor != self.id;
    if (!work.forwarded) {
        execute(scene, self, work);
    }
    return push(state, number);
}

/// dispatch_write(vm): the VM writes its request, to the executor or to the target, unless its
/// deadline has passed.
int write_verb(lua_State* state, world& scene)
{
    auto& self = scene.find(text_argument(state, 1));
    auto& work = only_task(self);
    if (!begin_write(work.tried, scene.now())) {
        end_task(scene, self, work, "timed_out");
        return push(state, false);
    }
    if (work.forwarded) {
        auto* const executor = scene.find_by_id(work.ticket.executor);
        scene.send(self, executor->name, "dispatch.forward",
                   forward_message{dispatch::to_text(work.ticket, keys), work.body, work.tried.id},
                   work.body.size());
    }
    else {
        ++scene.state<dispatch_outside>().runs[work.body];
    }
    return push(state, true);
}

/// dispatch_answer(vm): the target's answer arrives whole at the executor.
int answer_verb(lua_State* state, world& scene)
{
    auto& self = scene.find(text_argument(state, 1));
    auto& work = only_task(self);
    apply(work.tried, attempt_event::answer_begun);
    apply(work.tried, attempt_event::answer_complete);
    end_task(scene, self, work, "answered");
    return 0;
}

/// dispatch_lose(vm): the VM's connection for the request is lost.
int lose_verb(lua_State* state, world& scene)
{
    auto& self = scene.find(text_argument(state, 1));
    auto& work = only_task(self);
    apply(work.tried, attempt_event::lost);
    end_task(scene, self, work, "lost");
    return 0;
}

/// dispatch_close(vm): the VM drains.
int close_verb(lua_State* state, world& scene)
{
    process_of(scene.find(text_argument(state, 1))).tickets->close();
    return 0;
}

/// dispatch_outcome(number): "verdict outcome" as the caller was told, or "pending".
int outcome_verb(lua_State* state, world& scene)
{
    return push(state, scene.state<dispatch_outside>().answers[integer_argument(state, 1)]);
}

/// dispatch_runs(body): how often the target ran it.
int runs_verb(lua_State* state, world& scene)
{
    return push(state, scene.state<dispatch_outside>().runs[text_argument(state, 1)]);
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
