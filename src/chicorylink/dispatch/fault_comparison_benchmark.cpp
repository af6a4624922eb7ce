#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"

#include <array>
#include <optional>
#include <random>
#include <tuple>

#include <benchmark/benchmark.h>

/// Bookings under one fault each, in virtual time: what the callers learn with tickets, with an
/// owner chosen by hash of the caller's key, and with the caller's key remembered by each VM for
/// itself. A caller sends at most three times, each time to another VM while one lives.
namespace chicorylink::dispatch {
namespace {

enum class scheme {
    tickets,
    owner_by_hash,
    key_at_each_vm,
    /// The executor gets the body once it has a slot at a target.
    tickets_body_on_demand,
    /// So, and the first send goes through a VM that is not the executor.
    tickets_through_another_vm,
};

enum class fault {
    none,
    /// The executor dies with the request in its queue.
    executor_dies_before_write,
    executor_dies_after_write,
    entry_dies_after_hand_over,
    link_lost_before_hand_over,
    link_lost_after_hand_over,
    target_closes_midway,
    answer_to_caller_lost,
};

constexpr std::size_t vm_count = 3;
constexpr int sends = 3;
constexpr int bookings = 10'000;
constexpr base::time_point now{};
constexpr ticket_times times{now + base::milliseconds{100}, now + base::milliseconds{200}};
const base::digest request{};

/// What one caller was told last; empty when nothing came back.
using told = std::optional<outcome>;

class booking_run {
public:
    booking_run(scheme used, fault injected, std::mt19937_64& random)
        : m_scheme(used), m_fault(injected), m_random(random), m_owner(pick())
    {
    }

    /// Sends until the booking is confirmed or the caller gives up.
    void run()
    {
        for (m_send = 1; m_send <= sends && m_told != outcome::ran; ++m_send) {
            const auto at = entry();
            m_told = send(at);
            if (m_told == outcome::not_run && uses_tickets()) {
                m_slots = {};
                m_owner = at;
            }
        }
    }

    [[nodiscard]] told last() const { return m_told; }
    [[nodiscard]] int runs() const { return m_runs; }

private:
    std::size_t pick() { return m_random() % vm_count; }

    [[nodiscard]] bool uses_tickets() const
    {
        return m_scheme != scheme::owner_by_hash && m_scheme != scheme::key_at_each_vm;
    }

    [[nodiscard]] bool body_on_demand() const
    {
        return m_scheme == scheme::tickets_body_on_demand ||
               m_scheme == scheme::tickets_through_another_vm;
    }

    [[nodiscard]] bool avoided(std::size_t at) const
    {
        return m_scheme == scheme::tickets_through_another_vm && m_send == 1 && at == m_owner;
    }

    std::size_t entry()
    {
        auto at = pick();
        while (m_dead[at] || avoided(at) || (m_send > 1 && at == m_last_entry)) {
            at = pick();
        }
        m_last_entry = at;
        return at;
    }

    [[nodiscard]] bool strikes(fault which) const { return m_send == 1 && m_fault == which; }

    std::size_t executor_for(std::size_t at)
    {
        if (m_scheme == scheme::key_at_each_vm) {
            return at;
        }
        if (m_scheme == scheme::owner_by_hash && m_dead[m_owner]) {
            m_owner = at;
        }
        return m_owner;
    }

    told send(std::size_t at)
    {
        const auto executor = executor_for(at);
        attempt handed{.deadline = base::time_point::max()};
        const bool remote = executor != at;
        if (remote) {
            if (m_dead[executor] || strikes(fault::link_lost_before_hand_over)) {
                // A new process at the executor's address answers that it knows nothing.
                return uses_tickets() ? outcome_of_entry_refusal(true, m_send == 1)
                                      : outcome::not_run;
            }
            if (!(body_on_demand() && strikes(fault::executor_dies_before_write))) {
                std::ignore = begin_write(handed, now);
            }
        }
        const auto answer = execute(executor);
        if (remote && strikes(fault::link_lost_after_hand_over)) {
            return outcome_if_lost(handed);
        }
        if (strikes(fault::entry_dies_after_hand_over)) {
            m_dead[at] = true;
            return std::nullopt;
        }
        if (strikes(fault::answer_to_caller_lost)) {
            return std::nullopt;
        }
        if (!answer) {
            const auto result = outcome_if_lost(handed);
            if (remote && result == outcome::not_run) {
                return outcome_of_entry_refusal(true, m_send == 1);
            }
            return remote ? told{result} : std::nullopt;
        }
        return answer;
    }

    /// Empty when the executor dies.
    told execute(std::size_t executor)
    {
        auto& slot = m_slots[executor];
        const attempt_id holder{base::incarnation{1}, static_cast<std::uint64_t>(m_send)};
        const auto decision = begin_request(slot, times, request, holder, now);
        if (decision.verdict != ticket_verdict::run) {
            return decision.result;
        }
        if (strikes(fault::executor_dies_before_write)) {
            return die(executor);
        }
        ++m_runs;
        if (strikes(fault::executor_dies_after_write)) {
            return die(executor);
        }
        const bool whole = !strikes(fault::target_closes_midway);
        const auto result = whole ? outcome::ran : outcome::unknown;
        end_request(slot, holder, result, whole ? std::make_shared<stored_answer>() : nullptr);
        return result;
    }

    told die(std::size_t executor)
    {
        m_dead[executor] = true;
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
    told m_told;
    std::array<bool, vm_count> m_dead{};
    std::array<ticket_slot, vm_count> m_slots;
};

void bookings_under_fault(benchmark::State& state)
{
    const auto used = static_cast<scheme>(state.range(0));
    const auto injected = static_cast<fault>(state.range(1));
    double confirmed = 0;
    double unknown = 0;
    double refused_runnable = 0;
    double doubled = 0;
    for (auto unused : state) {
        std::mt19937_64 random{1};
        for (int i = 0; i < bookings; ++i) {
            booking_run booking{used, injected, random};
            booking.run();
            confirmed += booking.last() == outcome::ran ? 1 : 0;
            unknown += booking.last() == outcome::ran || booking.last() == outcome::not_run ? 0 : 1;
            refused_runnable += booking.last() != outcome::ran && booking.runs() == 0 ? 1 : 0;
            doubled += booking.runs() > 1 ? 1 : 0;
        }
    }
    const auto share = [](double count) { return count / bookings; };
    state.counters["confirmed_share"] = share(confirmed);
    state.counters["unknown_share"] = share(unknown);
    state.counters["refused_although_runnable_share"] = share(refused_runnable);
    state.counters["run_twice_share"] = share(doubled);
}
BENCHMARK(bookings_under_fault)
    ->ArgsProduct({{0, 1, 2, 3, 4}, {0, 1, 2, 3, 4, 5, 6, 7}})
    ->ArgNames({"scheme", "fault"})
    ->Iterations(1);

} // namespace
} // namespace chicorylink::dispatch
