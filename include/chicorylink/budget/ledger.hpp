#ifndef CHICORYLINK_BUDGET_LEDGER_HPP
#define CHICORYLINK_BUDGET_LEDGER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/budget/account.hpp"
#include "chicorylink/budget/admission.hpp"
#include "chicorylink/budget/context.hpp"
#include "chicorylink/budget/message.hpp"
#include "chicorylink/budget/settings.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicorylink::budget {

/// @brief The accounts and reservations of one shard of teams at one VM.
///
/// Not thread-safe: the engine holds the shard's lock. Functions take the present time and the
/// current context; code that replaces the context calls `attach` and `detach` as slots change.
class ledger {
public:
    explicit ledger(const settings& budget_settings) : m_settings(budget_settings) {}

    /// @brief Reserves tokens for a request, or requests the missing ones from other VMs.
    /// @param id The ID of the reservation if it is granted.
    [[nodiscard]] admission reserve(const admission_request& request, reservation_id id,
                                    const context& ctx, base::time_point now, effects& result);

    /// @brief Ends a reservation with the tokens that were used and refunds the rest.
    /// @return An error when the reservation is unknown, or more was used than reserved.
    base::result<void> settle(reservation_id id, base::tokens used, const context& ctx,
                              base::time_point now);

    /// @brief Whether a reservation is open.
    [[nodiscard]] bool holds(reservation_id id) const { return m_reservations.contains(id); }

    /// @brief Handles a borrower's request. An outdated or repeated one gets no answer.
    void on_request(const process_id& from, const loan_request& request, const context& ctx,
                    base::time_point now, effects& result);

    /// @brief Handles a lender's answer.
    void on_grant(const process_id& lender, const loan_grant& grant, const context& ctx,
                  base::time_point now, effects& result);

    /// @brief Reports, prefetches, returns and expires loans; periodically drops idle accounts.
    void tick(const context& ctx, base::time_point now, effects& result);

    /// @brief Returns all borrowed tokens that are not in use.
    void return_loans(base::time_point now, effects& result);

    /// @brief Adds slots that this VM owns from now on, with the balances transferred with them.
    /// @param ctx A context that already contains the slots.
    void attach(const slot_set& slots, const std::vector<moved_balance>& balances,
                const context& ctx, base::time_point now);

    /// @brief Removes slots and appends the balances that leave with them to `moved`.
    /// @param before A context that still contains the slots.
    void detach(const slot_set& slots, const context& before, base::time_point now,
                std::vector<moved_balance>& moved);

    /// @brief Recomputes the limits of all accounts from a new context.
    void refresh_all(const context& ctx, base::time_point now);

    /// @brief Opens the account of a team that new rules add or split differently, so that any
    /// growth of its share is minted and not assumed to be available.
    /// @param before The context with the older rules.
    void open_for_new_split(const rules::team& team_rules, const context& before,
                            base::time_point now);

    /// @brief Drops borrowed tokens of teams that have parts in these slots, because a new owner of
    /// the slots relies on that.
    void drop_loans(const slot_set& slots, const context& ctx);

    /// @brief Drops the loans of a process that is proven to be gone.
    void drop_borrower(const process_id& borrower, base::time_point now);

    /// @brief Drops all tokens, as after a lost membership. Reservations stay to be settled.
    void clear();

    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }
    /// @brief Own and borrowed tokens of a team that could be spent here; for tests and metrics.
    [[nodiscard]] micro_tokens spendable(base::team_id team, const context& ctx,
                                         base::time_point now);

private:
    struct borrowed_part {
        base::vm_id lender;
        base::incarnation process;
        micro_tokens amount;
        std::int64_t stamp = 0;
    };

    struct reservation {
        base::team_id team;
        base::time_point taken_at;
        micro_tokens own;
        std::vector<borrowed_part> borrowed;
    };

    account& open(const rules::team& team_rules, const context& ctx, base::time_point now);
    account* refreshed(base::team_id team, const context& ctx, base::time_point now);
    static void drop_debts(account& team_account);
    void refresh(account& team_account, base::team_id team, const context& ctx,
                 base::time_point now);
    reservation take(account& from, const admission_request& request, base::time_point now);
    bool request_loans(account& team_account, base::team_id team, micro_tokens missing,
                       const context& ctx, base::time_point now, effects& result);
    void balance(account& team_account, base::team_id team, micro_tokens spent, const context& ctx,
                 base::time_point now, effects& result);
    void send_request(account& team_account, debt& to, base::team_id team, micro_tokens need,
                      micro_tokens want, base::time_point now, effects& result);
    void tick_debts(account& team_account, base::team_id team, base::time_point now,
                    effects& result);
    void drop_idle_accounts(const context& ctx, base::time_point now);

    settings m_settings;
    std::unordered_map<base::team_id, account> m_accounts;
    std::unordered_map<reservation_id, reservation> m_reservations;
    std::unordered_set<base::team_id> m_borrowing_teams;
    std::uint64_t m_last_request = 0;
    base::time_point m_swept_at{};
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_LEDGER_HPP
