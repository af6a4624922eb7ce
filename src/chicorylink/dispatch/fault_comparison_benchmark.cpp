#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"

#include <array>
#include <optional>
#include <random>
#include <tuple>

#include <benchmark/benchmark.h>

/// Compares schemes for running a booking at most once, with one injected fault per booking, in
/// virtual time: tickets, an owner chosen by a hash of the caller's key, and a record of the
/// caller's key on each VM separately. A caller sends at most three times, each time to a different
/// live VM.
namespace chicorylink::dispatch {
namespace {

enum class scheme {
    tickets,
    owner_by_hash,
    key_at_each_vm,
    /// The executor receives the body only once it has a slot at a target.
    tickets_body_on_demand,
    /// Same, and the first send enters through a VM that is not the executor.
    tickets_through_another_vm,
};

enum class fault {
    none,
    /// The executor crashes while the request is in its queue.
    executor_crashes_before_write,
    executor_crashes_after_write,
    entry_crashes_after_forwarding,
    link_lost_before_forwarding,
    link_lost_after_forwarding,
    target_closes_mid_response,
    response_to_caller_lost,
};

constexpr std::size_t vm_count = 3;
constexpr int max_sends = 3;
constexpr int booking_count = 10'000;
constexpr base::time_point now{};
constexpr ticket_times times{now + base::milliseconds{100}, now + base::milliseconds{200}};
const base::digest request{};

/// The outcome last reported to a caller; empty when no response arrived.
using reported_outcome = std::optional<outcome>;

class booking_run {
public:
    booking_run(scheme tested_scheme, fault injected_fault, std::mt19937_64& random)
        : m_scheme(tested_scheme), m_fault(injected_fault), m_random(random), m_owner(random_vm())
    {
    }

    /// Sends until the booking is confirmed or all sends are used.
    void run()
    {
        for (m_send = 1; m_send <= max_sends && m_last_outcome != outcome::ran; ++m_send) {
            const auto entry_vm = entry();
            m_last_outcome = send(entry_vm);
            if (m_last_outcome == outcome::not_run && uses_tickets()) {
                m_slots = {};
                m_owner = entry_vm;
            }
        }
    }

    [[nodiscard]] reported_outcome last() const { return m_last_outcome; }
    [[nodiscard]] int runs() const { return m_runs; }

private:
    std::size_t random_vm() { return m_random() % vm_count; }

    [[nodiscard]] bool uses_tickets() const
    {
        return m_scheme != scheme::owner_by_hash && m_scheme != scheme::key_at_each_vm;
    }

    [[nodiscard]] bool body_on_demand() const
    {
        return m_scheme == scheme::tickets_body_on_demand ||
               m_scheme == scheme::tickets_through_another_vm;
    }

    [[nodiscard]] bool is_excluded(std::size_t entry_vm) const
    {
        return m_scheme == scheme::tickets_through_another_vm && m_send == 1 && entry_vm == m_owner;
    }

    std::size_t entry()
    {
        auto entry_vm = random_vm();
        while (m_crashed[entry_vm] || is_excluded(entry_vm) ||
               (m_send > 1 && entry_vm == m_last_entry)) {
            entry_vm = random_vm();
        }
        m_last_entry = entry_vm;
        return entry_vm;
    }

    [[nodiscard]] bool is_injected(fault kind) const { return m_send == 1 && m_fault == kind; }

    std::size_t executor_for(std::size_t entry_vm)
    {
        if (m_scheme == scheme::key_at_each_vm) {
            return entry_vm;
        }
        if (m_scheme == scheme::owner_by_hash && m_crashed[m_owner]) {
            m_owner = entry_vm;
        }
        return m_owner;
    }

    reported_outcome send(std::size_t entry_vm)
    {
        const auto executor = executor_for(entry_vm);
        attempt forwarded{.deadline = base::time_point::max()};
        const bool remote = executor != entry_vm;
        if (remote) {
            if (m_crashed[executor] || is_injected(fault::link_lost_before_forwarding)) {
                // A new process at the executor's address has no record of the request.
                return uses_tickets() ? outcome_of_entry_refusal(true, m_send == 1)
                                      : outcome::not_run;
            }
            if (!(body_on_demand() && is_injected(fault::executor_crashes_before_write))) {
                std::ignore = begin_write(forwarded, now);
            }
        }
        const auto response = execute(executor);
        if (remote && is_injected(fault::link_lost_after_forwarding)) {
            return outcome_if_lost(forwarded);
        }
        if (is_injected(fault::entry_crashes_after_forwarding)) {
            m_crashed[entry_vm] = true;
            return std::nullopt;
        }
        if (is_injected(fault::response_to_caller_lost)) {
            return std::nullopt;
        }
        if (!response) {
            const auto result = outcome_if_lost(forwarded);
            if (remote && result == outcome::not_run) {
                return outcome_of_entry_refusal(true, m_send == 1);
            }
            return remote ? reported_outcome{result} : std::nullopt;
        }
        return response;
    }

    /// Returns empty when the executor crashes.
    reported_outcome execute(std::size_t executor)
    {
        auto& slot = m_slots[executor];
        const attempt_id holder{base::incarnation{1}, static_cast<std::uint64_t>(m_send)};
        const auto decision = begin_request(slot, times, request, holder, now);
        if (decision.verdict != ticket_verdict::run) {
            return decision.result;
        }
        if (is_injected(fault::executor_crashes_before_write)) {
            return crash(executor);
        }
        ++m_runs;
        if (is_injected(fault::executor_crashes_after_write)) {
            return crash(executor);
        }
        const bool complete = !is_injected(fault::target_closes_mid_response);
        const auto result = complete ? outcome::ran : outcome::unknown;
        end_request(slot, holder, result, complete ? std::make_shared<stored_response>() : nullptr);
        return result;
    }

    reported_outcome crash(std::size_t executor)
    {
        m_crashed[executor] = true;
        m_slots[executor].reset();
        return std::nullopt;
    }

    scheme m_scheme;
    fault m_fault;
    std::mt19937_64& m_random;
    std::size_t m_owner;
    std::size_t m_last_entry = vm_count;
    int m_send = 1;
    int m_runs = 0;
    reported_outcome m_last_outcome;
    std::array<bool, vm_count> m_crashed{};
    std::array<ticket_slot, vm_count> m_slots;
};

void bookings_under_fault(benchmark::State& state)
{
    const auto tested_scheme = static_cast<scheme>(state.range(0));
    const auto injected_fault = static_cast<fault>(state.range(1));
    double confirmed = 0;
    double unknown = 0;
    double refused_without_run = 0;
    double run_twice = 0;
    for (auto unused : state) {
        std::mt19937_64 random{1};
        for (int i = 0; i < booking_count; ++i) {
            booking_run booking{tested_scheme, injected_fault, random};
            booking.run();
            confirmed += booking.last() == outcome::ran ? 1 : 0;
            unknown += booking.last() == outcome::ran || booking.last() == outcome::not_run ? 0 : 1;
            refused_without_run += booking.last() != outcome::ran && booking.runs() == 0 ? 1 : 0;
            run_twice += booking.runs() > 1 ? 1 : 0;
        }
    }
    const auto share = [](double count) { return count / booking_count; };
    state.counters["confirmed_share"] = share(confirmed);
    state.counters["unknown_share"] = share(unknown);
    state.counters["refused_although_runnable_share"] = share(refused_without_run);
    state.counters["run_twice_share"] = share(run_twice);
}
BENCHMARK(bookings_under_fault)
    ->ArgsProduct({{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4, 5, 6, 7}})
    ->ArgNames({"scheme", "fault"})
    ->Iterations(1);

} // namespace
} // namespace chicorylink::dispatch
