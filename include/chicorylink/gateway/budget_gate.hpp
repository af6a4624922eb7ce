#ifndef CHICORYLINK_GATEWAY_BUDGET_GATE_HPP
#define CHICORYLINK_GATEWAY_BUDGET_GATE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/gateway/active_request.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicorylink::budget {
class engine;
struct effects;
} // namespace chicorylink::budget

namespace chicorylink::membership {
struct view;
} // namespace chicorylink::membership

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// @brief Applies the decisions of the budget engine: sends its messages, queues requests that wait
/// for a loan of tokens, and starts granted requests. Thread-safe.
class budget_gate {
public:
    budget_gate(services& deps, base::time_point now);
    ~budget_gate();
    budget_gate(const budget_gate&) = delete;
    budget_gate& operator=(const budget_gate&) = delete;
    budget_gate(budget_gate&&) = delete;
    budget_gate& operator=(budget_gate&&) = delete;

    /// @brief Reserves the tokens of a new request, then runs or refuses it, now or when a loan
    /// was granted or failed.
    void reserve(const active_request_ptr& entry);

    /// @brief Ends a reservation with the tokens that were used; zero when the request did not run.
    void settle(std::uint64_t reservation, base::tokens used);

    /// @brief Whether a reservation may still be used; checked right before a request is sent.
    [[nodiscard]] bool confirm(std::uint64_t reservation) const;

    /// @brief Removes a request that waits for a loan.
    void cancel(const active_request_ptr& entry);

    void on_rules(std::shared_ptr<const rules::rulebook> book);
    void on_view(const membership::view& members);
    void on_message(base::vm_id from, base::incarnation process,
                    std::span<const std::uint8_t> bytes);

    /// @brief To be called every 100 ms.
    void tick();

    /// @brief Starts to hand this VM's budget shares over to other VMs.
    void drain();
    [[nodiscard]] bool drained() const;

    /// @brief Resets to an empty state, as after a process start.
    void renew(base::time_point now);

    [[nodiscard]] std::size_t waiting() const;
    /// @brief Number of slots (parts of the region's right to mint tokens) that this VM owns.
    [[nodiscard]] std::size_t owned_slots() const;
    /// @brief Whole tokens of a team that can be spent here now.
    [[nodiscard]] base::tokens spendable(base::team_id team) const;

private:
    void try_reserve(const active_request_ptr& entry);
    void perform(const budget::effects& effects);
    /// Limit of waiting requests per team, so that a team far above its rate can't exhaust memory.
    static constexpr std::size_t max_waiting_per_team = 256;

    /// Queues a request until a loan arrives; false when too many requests of its team wait.
    [[nodiscard]] bool keep_waiting(const active_request_ptr& entry, base::time_point until);
    [[nodiscard]] std::vector<active_request_ptr> take_waiting(base::team_id team);
    [[nodiscard]] std::vector<active_request_ptr> take_overdue(base::time_point now);
    [[nodiscard]] std::unique_ptr<budget::engine> make_engine(base::time_point now) const;

    struct waiter {
        active_request_ptr entry;
        base::time_point until;
    };

    services& m_deps;
    /// Protects the pointer only; the engine is thread-safe.
    mutable std::shared_mutex m_engine_mutex;
    std::shared_ptr<budget::engine> m_engine;
    mutable std::mutex m_mutex;
    std::unordered_map<base::team_id, std::vector<waiter>> m_waiting;
    std::shared_ptr<const rules::rulebook> m_book;

    [[nodiscard]] std::shared_ptr<budget::engine> engine() const;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_BUDGET_GATE_HPP
