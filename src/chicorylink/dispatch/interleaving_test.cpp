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
constexpr std::array moments{start, start + base::milliseconds{10}, start + base::milliseconds{20}};
constexpr ticket_times times{moments[1], moments[2]};
constexpr int entry = 0;
constexpr int executor = 1;
const base::digest booking{};

enum class kind : std::uint8_t { request, forward, run, result, reply, answer };

/// One message in flight.
struct message {
    kind what = kind::request;
    /// The VM that it goes to or comes from, or the VM that answers.
    int vm = entry;
    /// The caller's attempt that it belongs to.
    int caller_attempt = 0;
    /// The VM's attempt that it belongs to; on `run` and `result` the executor's.
    attempt_id sender;
    outcome result = outcome::unknown;

    friend auto operator<=>(const message&, const message&) = default;
};

/// An attempt of a VM and whom to answer.
struct task {
    attempt tried;
    int caller_attempt = 0;
    /// Set when the entry VM handed it over.
    bool forwarded = false;
    attempt_id holder;
};

struct vm_state {
    int incarnation = 1;
    std::uint64_t counter = 0;
    std::vector<task> tasks;
};

struct world {
    std::array<vm_state, 2> vms;
    ticket_slot slot;
    std::vector<message> in_flight;
    std::size_t moment = 0;
    int sent = 0;
    int runs = 0;
    int doubled = 0;
    bool told_not_run = false;
    std::string violation;
};

attempt_id next_id(world& at, int vm)
{
    auto& owner = at.vms[static_cast<std::size_t>(vm)];
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

std::string key_of(const world& at)
{
    std::string text;
    for (const auto& vm : at.vms) {
        append(text, static_cast<std::uint64_t>(vm.incarnation));
        append(text, vm.counter);
        append(text, vm.tasks.size());
        for (const auto& each : vm.tasks) {
            append(text, each.tried.id);
            append(text, static_cast<std::uint64_t>(each.tried.state));
            append(text, static_cast<std::uint64_t>(each.caller_attempt));
            append(text, each.forwarded ? 1 : 0);
            append(text, each.holder);
        }
    }
    append(text, at.slot ? static_cast<std::uint64_t>(at.slot->state) + 1 : 0);
    append(text, at.slot ? at.slot->holder : attempt_id{});
    for (const auto value :
         {static_cast<int>(at.moment), at.sent, at.runs, at.doubled, at.told_not_run ? 1 : 0}) {
        append(text, static_cast<std::uint64_t>(value));
    }
    for (const auto& each : at.in_flight) {
        append(text, static_cast<std::uint64_t>(each.what));
        append(text, static_cast<std::uint64_t>(each.vm));
        append(text, static_cast<std::uint64_t>(each.caller_attempt));
        append(text, each.sender);
        append(text, static_cast<std::uint64_t>(each.result));
    }
    return text;
}

/// The steps that one state can take.
class stepper {
public:
    explicit stepper(const enumeration& bounds) : m_bounds(bounds) {}

    std::vector<world> next(const world& at) const
    {
        std::vector<world> found;
        const auto add = [&](auto change) {
            world copy = at;
            if (change(copy)) {
                std::ranges::sort(copy.in_flight);
                found.push_back(std::move(copy));
            }
        };
        for (const int vm : {entry, executor}) {
            if (at.sent < m_bounds.caller_attempts) {
                add([&](world& w) { return send_request(w, vm); });
            }
            if (at.vms[static_cast<std::size_t>(vm)].incarnation <= m_bounds.deaths) {
                add([&](world& w) { return die(w, vm); });
            }
            const auto tasks = at.vms[static_cast<std::size_t>(vm)].tasks.size();
            for (std::size_t i = 0; i < tasks; ++i) {
                add([&](world& w) { return write(w, vm, i); });
                add([&](world& w) { return give_up(w, vm, i); });
            }
        }
        add([&](world& w) { return pass_time(w); });
        for (std::size_t i = 0; i < at.in_flight.size(); ++i) {
            add([&](world& w) { return deliver(w, i, false); });
            if (is_for_executor(at.in_flight[i])) {
                add([&](world& w) { return deliver(w, i, true); });
            }
            if (at.doubled < m_bounds.doubled) {
                add([&](world& w) { return double_message(w, i); });
            }
        }
        return found;
    }

private:
    bool lacks(removed_rule rule) const { return m_bounds.without == rule; }

    bool send_request(world& w, int vm) const
    {
        ++w.sent;
        w.told_not_run = false;
        w.in_flight.push_back({.what = kind::request, .vm = vm, .caller_attempt = w.sent});
        return true;
    }

    bool die(world& w, int vm) const
    {
        auto& process = w.vms[static_cast<std::size_t>(vm)];
        ++process.incarnation;
        process.counter = 0;
        process.tasks.clear();
        if (vm == executor) {
            w.slot.reset();
        }
        return true;
    }

    bool pass_time(world& w) const
    {
        if (w.moment + 1 == moments.size()) {
            return false;
        }
        ++w.moment;
        if (moments[w.moment] >= times.forget_at) {
            w.slot.reset();
        }
        return true;
    }

    bool double_message(world& w, std::size_t place) const
    {
        const auto copy = w.in_flight[place];
        const bool to_target = copy.what == kind::run || copy.what == kind::result;
        if (to_target || (copy.what == kind::request && !m_bounds.doubles_requests)) {
            return false;
        }
        ++w.doubled;
        w.in_flight.push_back(copy);
        return true;
    }

    static bool is_for_executor(const message& what)
    {
        return what.what == kind::forward || (what.what == kind::request && what.vm == executor);
    }

    bool deliver(world& w, std::size_t place, bool refuse) const
    {
        const auto what = w.in_flight[place];
        w.in_flight.erase(w.in_flight.begin() + static_cast<std::ptrdiff_t>(place));
        switch (what.what) {
        case kind::request:
            if (what.vm == entry) {
                w.vms[entry].tasks.push_back({.tried = fresh_attempt(w, entry),
                                              .caller_attempt = what.caller_attempt,
                                              .forwarded = false,
                                              .holder = {}});
                return true;
            }
            return execute(w, {.caller_attempt = what.caller_attempt, .forwarded = false}, refuse);
        case kind::forward:
            return execute(
                w,
                {.caller_attempt = what.caller_attempt, .forwarded = true, .holder = what.sender},
                refuse);
        case kind::run:
            return run_at_target(w, what);
        case kind::result:
            return take_result(w, what);
        case kind::reply:
            return take_reply(w, what);
        case kind::answer:
            return take_answer(w, what);
        }
        return false;
    }

    static attempt fresh_attempt(world& w, int vm)
    {
        return {.id = next_id(w, vm), .deadline = base::time_point::max()};
    }

    /// A request arrives at the executor, directly or forwarded.
    bool execute(world& w, task work, bool refuse) const
    {
        const bool old_ticket =
            w.vms[executor].incarnation != 1 && !lacks(removed_rule::tickets_bind_the_incarnation);
        if (old_ticket) {
            respond(w, work, outcome::unknown);
            return !refuse;
        }
        if (refuse) {
            if (w.slot || moments[w.moment] >= times.forget_at) {
                return false;
            }
            if (!lacks(removed_rule::not_run_bars_the_ticket)) {
                bar(w.slot, times);
            }
            respond(w, work, outcome::not_run);
            return true;
        }
        work.tried = fresh_attempt(w, executor);
        if (!work.forwarded) {
            work.holder = work.tried.id;
        }
        auto now = moments[w.moment];
        if (lacks(removed_rule::forgotten_is_not_begun)) {
            now = start;
        }
        if (lacks(removed_rule::used_tickets_are_remembered)) {
            w.slot.reset();
        }
        const auto decision = begin_request(w.slot, times, booking, work.holder, now);
        if (decision.verdict == ticket_verdict::run) {
            w.vms[executor].tasks.push_back(work);
        }
        else {
            respond(w, work, decision.result);
        }
        return true;
    }

    bool write(world& w, int vm, std::size_t place) const
    {
        auto& work = w.vms[static_cast<std::size_t>(vm)].tasks[place];
        if (!begin_write(work.tried, moments[w.moment])) {
            return false;
        }
        w.in_flight.push_back({.what = vm == entry ? kind::forward : kind::run,
                               .vm = vm,
                               .caller_attempt = work.caller_attempt,
                               .sender = work.tried.id});
        return true;
    }

    bool give_up(world& w, int vm, std::size_t place) const
    {
        auto& tasks = w.vms[static_cast<std::size_t>(vm)].tasks;
        auto work = tasks[place];
        tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(place));
        apply(work.tried, attempt_event::lost);
        auto result = *work.tried.result;
        if (lacks(removed_rule::possibly_sent_is_unknown)) {
            result = outcome::not_run;
        }
        if (vm == entry) {
            if (result == outcome::not_run && !lacks(removed_rule::possibly_sent_is_unknown)) {
                const bool first = m_bounds.marks_first_attempt && work.caller_attempt == 1;
                result = outcome_of_entry_refusal(
                    !lacks(removed_rule::entry_vouches_for_first_attempts_only), first);
            }
            answer(w, entry, work, result);
            return true;
        }
        end_work(w, work, result);
        return true;
    }

    void end_work(world& w, const task& work, outcome result) const
    {
        const auto kept =
            result == outcome::ran ? std::make_shared<const stored_answer>() : nullptr;
        end_request(w.slot, work.holder, result, kept);
        if ((result == outcome::not_run && lacks(removed_rule::not_run_bars_the_ticket)) ||
            (result == outcome::unknown && lacks(removed_rule::unknown_is_not_retried))) {
            w.slot.reset();
        }
        respond(w, work, result);
    }

    static bool run_at_target(world& w, const message& what)
    {
        ++w.runs;
        if (w.runs > 1) {
            w.violation = "the target ran the booking twice";
        }
        else if (w.told_not_run) {
            w.violation = "the target ran the booking after the caller was told not run";
        }
        auto done = what;
        done.what = kind::result;
        w.in_flight.push_back(done);
        return true;
    }

    bool take_result(world& w, const message& what) const
    {
        auto& tasks = w.vms[executor].tasks;
        const auto found = std::ranges::find_if(
            tasks, [&](const task& each) { return each.tried.id == what.sender; });
        if (found == tasks.end() || !apply(found->tried, attempt_event::answer_begun)) {
            return true;
        }
        apply(found->tried, attempt_event::answer_complete);
        const auto work = *found;
        tasks.erase(found);
        end_work(w, work, outcome::ran);
        return true;
    }

    static bool take_reply(world& w, const message& what)
    {
        auto& tasks = w.vms[entry].tasks;
        const auto found = std::ranges::find_if(
            tasks, [&](const task& each) { return each.tried.id == what.sender; });
        if (found == tasks.end()) {
            return true;
        }
        const auto work = *found;
        tasks.erase(found);
        answer(w, entry, work, what.result);
        return true;
    }

    static bool take_answer(world& w, const message& what)
    {
        if (what.caller_attempt == w.sent) {
            w.told_not_run = true;
            if (w.runs > 0) {
                w.violation = "the caller was told not run of a booking that ran";
            }
        }
        return true;
    }

    static void respond(world& w, const task& work, outcome result)
    {
        if (!work.forwarded) {
            answer(w, executor, work, result);
            return;
        }
        w.in_flight.push_back({.what = kind::reply,
                               .vm = entry,
                               .caller_attempt = work.caller_attempt,
                               .sender = work.holder,
                               .result = result});
    }

    /// Only an answer of not run to the latest sending can still matter when it arrives: no other
    /// is put in flight, which leaves out states that differ in nothing else.
    static void answer(world& w, int vm, const task& work, outcome result)
    {
        if (result == outcome::ran && w.runs == 0) {
            w.violation = "the caller was told ran of a booking that did not run";
        }
        if (result != outcome::not_run || work.caller_attempt != w.sent) {
            return;
        }
        w.in_flight.push_back({.what = kind::answer,
                               .vm = vm,
                               .caller_attempt = work.caller_attempt,
                               .sender = {},
                               .result = result});
    }

    enumeration m_bounds;
};

} // namespace

findings enumerate(const enumeration& bounds)
{
    const stepper steps{bounds};
    std::unordered_set<std::string> seen;
    std::deque<world> open;
    open.emplace_back();
    seen.insert(key_of(open.front()));
    findings found;
    while (!open.empty()) {
        const auto at = std::move(open.front());
        open.pop_front();
        for (auto& next : steps.next(at)) {
            if (!next.violation.empty()) {
                found.states = seen.size();
                found.violation = next.violation;
                return found;
            }
            if (seen.insert(key_of(next)).second) {
                open.push_back(std::move(next));
            }
        }
    }
    found.states = seen.size();
    return found;
}

namespace {

void expect_right(const char* what, const enumeration& bounds)
{
    const auto found = enumerate(bounds);
    std::printf("%s: %zu states\n", what, found.states);
    EXPECT_EQ(found.violation, "") << what;
    EXPECT_GT(found.states, 10'000U) << what;
}

TEST(interleavings, never_run_twice_nor_after_not_run)
{
    expect_right("two requests, one message doubled, each VM dies once", {});
    expect_right("three requests, each VM dies once", {.caller_attempts = 3, .doubled = 0});
}

TEST(interleavings, a_marked_first_attempt_is_safe_while_requests_are_not_doubled)
{
    expect_right("first attempt marked", {.marks_first_attempt = true, .doubles_requests = false});
}

/// The limit that docs/CALLERS.md states: something that repeats a marked request unmarked as such.
TEST(interleavings, a_marked_first_attempt_must_not_be_doubled)
{
    EXPECT_NE(enumerate({.marks_first_attempt = true}).violation, "");
}

TEST(interleavings, each_removed_rule_is_noticed)
{
    using rule = removed_rule;
    for (const auto without :
         {rule::tickets_bind_the_incarnation, rule::used_tickets_are_remembered,
          rule::not_run_bars_the_ticket, rule::possibly_sent_is_unknown,
          rule::unknown_is_not_retried, rule::forgotten_is_not_begun,
          rule::entry_vouches_for_first_attempts_only}) {
        const auto found = enumerate({.without = without});
        std::printf("without rule %d: %s after %zu states\n", static_cast<int>(without),
                    found.violation.c_str(), found.states);
        EXPECT_NE(found.violation, "") << static_cast<int>(without);
    }
}

} // namespace
} // namespace chicorylink::dispatch::testing
