#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/test_interleavings.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <tuple>
#include <unordered_set>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::dispatch::testing {
namespace {

constexpr base::time_point start{};
constexpr std::array time_points{start, start + base::milliseconds{10},
                                 start + base::milliseconds{20}};
constexpr ticket_times times{time_points[1], time_points[2]};
constexpr int entry = 0;
constexpr int executor = 1;
const base::digest booking{};

enum class message_kind : std::uint8_t { request, forward, run, result, reply, caller_response };

/// One message in flight.
struct message {
    message_kind kind = message_kind::request;
    /// The receiving, sending or responding VM, depending on the kind.
    int vm = entry;
    /// The caller's attempt that it belongs to.
    int caller_attempt = 0;
    /// The VM's attempt that it belongs to; for `run` and `result` the executor's.
    attempt_id sender;
    outcome result = outcome::unknown;

    friend auto operator<=>(const message&, const message&) = default;
};

/// An attempt of a VM and where its response goes.
struct task {
    attempt own_attempt;
    int caller_attempt = 0;
    /// Whether the entry VM forwarded it.
    bool forwarded = false;
    attempt_id holder;
};

struct vm_state {
    int incarnation = 1;
    std::uint64_t counter = 0;
    std::vector<task> tasks;
};

struct model_state {
    std::array<vm_state, 2> vms;
    ticket_slot slot;
    std::vector<message> in_flight;
    std::size_t time_index = 0;
    int requests_sent = 0;
    int runs = 0;
    int duplicated = 0;
    bool reported_not_run = false;
    std::string violation;
};

attempt_id next_id(model_state& current, int vm)
{
    auto& owner = current.vms[static_cast<std::size_t>(vm)];
    const int process = vm * 10 + owner.incarnation;
    return {base::incarnation{static_cast<std::uint64_t>(process)}, ++owner.counter};
}

void append(std::string& text, std::uint64_t value)
{
    text += static_cast<char>(value);
}

void append(std::string& text, const attempt_id& id)
{
    append(text, id.process.value());
    append(text, id.counter);
}

std::string key_of(const model_state& current)
{
    std::string text;
    for (const auto& vm : current.vms) {
        append(text, static_cast<std::uint64_t>(vm.incarnation));
        append(text, vm.counter);
        append(text, vm.tasks.size());
        for (const auto& each : vm.tasks) {
            append(text, each.own_attempt.id);
            append(text, static_cast<std::uint64_t>(each.own_attempt.state));
            append(text, static_cast<std::uint64_t>(each.caller_attempt));
            append(text, each.forwarded ? 1 : 0);
            append(text, each.holder);
        }
    }
    append(text, current.slot ? static_cast<std::uint64_t>(current.slot->state) + 1 : 0);
    append(text, current.slot ? current.slot->holder : attempt_id{});
    for (const auto value : {static_cast<int>(current.time_index), current.requests_sent,
                             current.runs, current.duplicated, current.reported_not_run ? 1 : 0}) {
        append(text, static_cast<std::uint64_t>(value));
    }
    for (const auto& each : current.in_flight) {
        append(text, static_cast<std::uint64_t>(each.kind));
        append(text, static_cast<std::uint64_t>(each.vm));
        append(text, static_cast<std::uint64_t>(each.caller_attempt));
        append(text, each.sender);
        append(text, static_cast<std::uint64_t>(each.result));
    }
    return text;
}

/// Computes the successors of a state.
class transitions {
public:
    explicit transitions(const enumeration& bounds) : m_bounds(bounds) {}

    std::vector<model_state> next(const model_state& current) const
    {
        std::vector<model_state> found;
        const auto add = [&](auto change) {
            model_state copy = current;
            if (change(copy)) {
                std::ranges::sort(copy.in_flight);
                found.push_back(std::move(copy));
            }
        };
        for (const int vm : {entry, executor}) {
            if (current.requests_sent < m_bounds.caller_attempts) {
                add([&](model_state& model) { return send_request(model, vm); });
            }
            if (current.vms[static_cast<std::size_t>(vm)].incarnation <= m_bounds.crashes) {
                add([&](model_state& model) { return crash(model, vm); });
            }
            const auto tasks = current.vms[static_cast<std::size_t>(vm)].tasks.size();
            for (std::size_t i = 0; i < tasks; ++i) {
                add([&](model_state& model) { return write(model, vm, i); });
                add([&](model_state& model) { return abandon(model, vm, i); });
            }
        }
        add([&](model_state& model) { return advance_time(model); });
        for (std::size_t i = 0; i < current.in_flight.size(); ++i) {
            add([&](model_state& model) { return deliver(model, i, false); });
            if (is_for_executor(current.in_flight[i])) {
                add([&](model_state& model) { return deliver(model, i, true); });
            }
            if (current.duplicated < m_bounds.duplicated) {
                add([&](model_state& model) { return duplicate_message(model, i); });
            }
        }
        return found;
    }

private:
    bool is_removed(removed_rule rule) const { return m_bounds.removed == rule; }

    bool send_request(model_state& model, int vm) const
    {
        ++model.requests_sent;
        model.reported_not_run = false;
        model.in_flight.push_back(
            {.kind = message_kind::request, .vm = vm, .caller_attempt = model.requests_sent});
        return true;
    }

    bool crash(model_state& model, int vm) const
    {
        auto& process = model.vms[static_cast<std::size_t>(vm)];
        ++process.incarnation;
        process.counter = 0;
        process.tasks.clear();
        if (vm == executor) {
            model.slot.reset();
        }
        return true;
    }

    bool advance_time(model_state& model) const
    {
        if (model.time_index + 1 == time_points.size()) {
            return false;
        }
        ++model.time_index;
        if (time_points[model.time_index] >= times.discard_at) {
            model.slot.reset();
        }
        return true;
    }

    bool duplicate_message(model_state& model, std::size_t index) const
    {
        const auto copy = model.in_flight[index];
        const bool to_target = copy.kind == message_kind::run || copy.kind == message_kind::result;
        if (to_target || (copy.kind == message_kind::request && !m_bounds.duplicates_requests)) {
            return false;
        }
        ++model.duplicated;
        model.in_flight.push_back(copy);
        return true;
    }

    static bool is_for_executor(const message& received)
    {
        return received.kind == message_kind::forward ||
               (received.kind == message_kind::request && received.vm == executor);
    }

    bool deliver(model_state& model, std::size_t index, bool refuse) const
    {
        const auto received = model.in_flight[index];
        model.in_flight.erase(model.in_flight.begin() + static_cast<std::ptrdiff_t>(index));
        switch (received.kind) {
        case message_kind::request:
            if (received.vm == entry) {
                model.vms[entry].tasks.push_back({.own_attempt = new_attempt(model, entry),
                                                  .caller_attempt = received.caller_attempt,
                                                  .forwarded = false,
                                                  .holder = {}});
                return true;
            }
            return execute(model, {.caller_attempt = received.caller_attempt, .forwarded = false},
                           refuse);
        case message_kind::forward:
            return execute(model,
                           {.caller_attempt = received.caller_attempt,
                            .forwarded = true,
                            .holder = received.sender},
                           refuse);
        case message_kind::run:
            return run_at_target(model, received);
        case message_kind::result:
            return handle_result(model, received);
        case message_kind::reply:
            return handle_reply(model, received);
        case message_kind::caller_response:
            return handle_response(model, received);
        }
        return false;
    }

    static attempt new_attempt(model_state& model, int vm)
    {
        return {.id = next_id(model, vm), .deadline = base::time_point::max()};
    }

    /// A request arrives at the executor, directly or forwarded.
    bool execute(model_state& model, task work, bool refuse) const
    {
        const bool old_ticket = model.vms[executor].incarnation != 1 &&
                                !is_removed(removed_rule::tickets_are_bound_to_an_incarnation);
        if (old_ticket) {
            respond(model, work, outcome::unknown);
            return !refuse;
        }
        if (refuse) {
            if (model.slot || time_points[model.time_index] >= times.discard_at) {
                return false;
            }
            if (!is_removed(removed_rule::not_run_voids_the_ticket)) {
                void_unused(model.slot, times);
            }
            respond(model, work, outcome::not_run);
            return true;
        }
        work.own_attempt = new_attempt(model, executor);
        if (!work.forwarded) {
            work.holder = work.own_attempt.id;
        }
        auto now = time_points[model.time_index];
        if (is_removed(removed_rule::forgotten_is_not_started)) {
            now = start;
        }
        if (is_removed(removed_rule::used_tickets_are_recorded)) {
            model.slot.reset();
        }
        const auto decision = begin_request(model.slot, times, booking, work.holder, now);
        if (decision.verdict == ticket_verdict::run) {
            model.vms[executor].tasks.push_back(work);
        }
        else {
            respond(model, work, decision.result);
        }
        return true;
    }

    bool write(model_state& model, int vm, std::size_t index) const
    {
        auto& work = model.vms[static_cast<std::size_t>(vm)].tasks[index];
        if (!begin_write(work.own_attempt, time_points[model.time_index])) {
            return false;
        }
        model.in_flight.push_back({.kind = vm == entry ? message_kind::forward : message_kind::run,
                                   .vm = vm,
                                   .caller_attempt = work.caller_attempt,
                                   .sender = work.own_attempt.id});
        return true;
    }

    bool abandon(model_state& model, int vm, std::size_t index) const
    {
        auto& tasks = model.vms[static_cast<std::size_t>(vm)].tasks;
        auto work = tasks[index];
        tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(index));
        apply(work.own_attempt, attempt_event::lost);
        auto result = *work.own_attempt.result;
        if (is_removed(removed_rule::possibly_sent_is_unknown)) {
            result = outcome::not_run;
        }
        if (vm == entry) {
            if (result == outcome::not_run && !is_removed(removed_rule::possibly_sent_is_unknown)) {
                const bool first = m_bounds.marks_first_attempt && work.caller_attempt == 1;
                result = outcome_of_entry_refusal(
                    !is_removed(removed_rule::entry_reports_not_run_for_first_attempts_only),
                    first);
            }
            send_to_caller(model, entry, work, result);
            return true;
        }
        finish_task(model, work, result);
        return true;
    }

    void finish_task(model_state& model, const task& work, outcome result) const
    {
        const auto stored =
            result == outcome::ran ? std::make_shared<const stored_response>() : nullptr;
        end_request(model.slot, work.holder, result, stored);
        if ((result == outcome::not_run && is_removed(removed_rule::not_run_voids_the_ticket)) ||
            (result == outcome::unknown && is_removed(removed_rule::unknown_is_not_retried))) {
            model.slot.reset();
        }
        respond(model, work, result);
    }

    static bool run_at_target(model_state& model, const message& received)
    {
        ++model.runs;
        if (model.runs > 1) {
            model.violation = "the target ran the booking twice";
        }
        else if (model.reported_not_run) {
            model.violation = "the target ran the booking after the caller was told not run";
        }
        auto done = received;
        done.kind = message_kind::result;
        model.in_flight.push_back(done);
        return true;
    }

    bool handle_result(model_state& model, const message& received) const
    {
        auto& tasks = model.vms[executor].tasks;
        const auto found = std::ranges::find_if(
            tasks, [&](const task& each) { return each.own_attempt.id == received.sender; });
        if (found == tasks.end() || !apply(found->own_attempt, attempt_event::response_begun)) {
            return true;
        }
        apply(found->own_attempt, attempt_event::response_complete);
        const auto work = *found;
        tasks.erase(found);
        finish_task(model, work, outcome::ran);
        return true;
    }

    static bool handle_reply(model_state& model, const message& received)
    {
        auto& tasks = model.vms[entry].tasks;
        const auto found = std::ranges::find_if(
            tasks, [&](const task& each) { return each.own_attempt.id == received.sender; });
        if (found == tasks.end()) {
            return true;
        }
        const auto work = *found;
        tasks.erase(found);
        send_to_caller(model, entry, work, received.result);
        return true;
    }

    static bool handle_response(model_state& model, const message& received)
    {
        if (received.caller_attempt == model.requests_sent) {
            model.reported_not_run = true;
            if (model.runs > 0) {
                model.violation = "the caller was told not run for a booking that ran";
            }
        }
        return true;
    }

    static void respond(model_state& model, const task& work, outcome result)
    {
        if (!work.forwarded) {
            send_to_caller(model, executor, work, result);
            return;
        }
        model.in_flight.push_back({.kind = message_kind::reply,
                                   .vm = entry,
                                   .caller_attempt = work.caller_attempt,
                                   .sender = work.holder,
                                   .result = result});
    }

    /// Only a `not_run` response to the latest request can affect the checks when it arrives, so no
    /// other is put in flight. This avoids states that differ in nothing else.
    static void send_to_caller(model_state& model, int vm, const task& work, outcome result)
    {
        if (result == outcome::ran && model.runs == 0) {
            model.violation = "the caller was told ran for a booking that did not run";
        }
        if (result != outcome::not_run || work.caller_attempt != model.requests_sent) {
            return;
        }
        model.in_flight.push_back({.kind = message_kind::caller_response,
                                   .vm = vm,
                                   .caller_attempt = work.caller_attempt,
                                   .sender = {},
                                   .result = result});
    }

    enumeration m_bounds;
};

} // namespace

enumeration_result enumerate(const enumeration& bounds)
{
    const transitions steps{bounds};
    std::unordered_set<std::string> visited;
    std::deque<model_state> pending;
    pending.emplace_back();
    visited.insert(key_of(pending.front()));
    enumeration_result found;
    while (!pending.empty()) {
        const auto current = std::move(pending.front());
        pending.pop_front();
        for (auto& next : steps.next(current)) {
            if (!next.violation.empty()) {
                found.states = visited.size();
                found.violation = next.violation;
                return found;
            }
            if (visited.insert(key_of(next)).second) {
                pending.push_back(std::move(next));
            }
        }
    }
    found.states = visited.size();
    return found;
}

namespace {

void expect_no_violation(const char* description, const enumeration& bounds)
{
    const auto found = enumerate(bounds);
    std::printf("%s: %zu states\n", description, found.states);
    EXPECT_EQ(found.violation, "") << description;
    EXPECT_GT(found.states, 10'000U) << description;
}

TEST(interleavings, never_run_twice_or_after_not_run)
{
    expect_no_violation("two requests, one message duplicated, each VM crashes once", {});
    expect_no_violation("three requests, each VM crashes once",
                        {.caller_attempts = 3, .duplicated = 0});
}

TEST(interleavings, a_marked_first_attempt_is_safe_while_requests_are_not_duplicated)
{
    expect_no_violation("first attempt marked",
                        {.marks_first_attempt = true, .duplicates_requests = false});
}

/// The limit stated in docs/CALLERS.md: a duplicate of a marked request still looks like a first
/// attempt, so `not_run` may be reported for a booking that runs.
TEST(interleavings, duplicating_a_marked_first_attempt_is_unsafe)
{
    EXPECT_NE(enumerate({.marks_first_attempt = true}).violation, "");
}

TEST(interleavings, each_removed_rule_is_detected)
{
    using rule = removed_rule;
    for (const auto removed :
         {rule::tickets_are_bound_to_an_incarnation, rule::used_tickets_are_recorded,
          rule::not_run_voids_the_ticket, rule::possibly_sent_is_unknown,
          rule::unknown_is_not_retried, rule::forgotten_is_not_started,
          rule::entry_reports_not_run_for_first_attempts_only}) {
        const auto found = enumerate({.removed = removed});
        std::printf("without rule %d: %s after %zu states\n", static_cast<int>(removed),
                    found.violation.c_str(), found.states);
        EXPECT_NE(found.violation, "") << static_cast<int>(removed);
    }
}

} // namespace
} // namespace chicorylink::dispatch::testing
