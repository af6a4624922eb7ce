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
/// Not thread-safe: the engine holds the shard's lock. Every function takes the present time and
/// the context in force; whoever replaces the context calls `attach` and `detach` in between.
class ledger {
public:
    explicit ledger(const settings& terms) : m_terms(terms) {}

    /// @brief Reserves tokens for a request, or asks other VMs for what is missing.
    /// @param id The identity of the reservation if it is granted.
    [[nodiscard]] admission reserve(const ask& request, reservation_id id, const context& now_known,
                                    base::time_point now, effects& result);

    /// @brief Ends a reservation with the tokens that were used; the rest is refunded.
    /// @return An error when the reservation is unknown, or more was used than reserved.
    base::result<void> settle(reservation_id id, base::tokens used, const context& now_known,
                              base::time_point now);

    /// @brief Whether a reservation is open.
    [[nodiscard]] bool holds(reservation_id id) const { return m_reservations.contains(id); }

    /// @brief Serves a borrower. An outdated or repeated request gets no answer.
    void on_request(const borrower& from, const loan_request& request, const context& now_known,
                    base::time_point now, effects& result);

    /// @brief Takes in a lender's answer.
    void on_grant(const borrower& lender, const loan_grant& grant, const context& now_known,
                  base::time_point now, effects& result);

    /// @brief Reports, prefetches, returns and expires loans; forgets idle accounts now and then.
    void tick(const context& now_known, base::time_point now, effects& result);

    /// @brief Returns all borrowed tokens that are not in use.
    void return_loans(base::time_point now, effects& result);

    /// @brief Adds slots that this VM owns from now on, with balances that came along.
    /// @param now_known The context that contains the slots already.
    void attach(const slot_set& slots, const std::vector<moved_balance>& balances,
                const context& now_known, base::time_point now);

    /// @brief Removes slots and puts the balances that leave with them into `moved`.
    /// @param before The context that still contains the slots.
    void detach(const slot_set& slots, const context& before, base::time_point now,
                std::vector<moved_balance>& moved);

    /// @brief Works out the limits of all accounts from a new context.
    void refresh_all(const context& now_known, base::time_point now);

    /// @brief Opens the account of a team that new rules add or cut in another way, so that the
    /// growth of its share is minted and not assumed to be there.
    /// @param before The context of the older rules.
    void open_recut(const rules::team& who, const context& before, base::time_point now);

    /// @brief Gives up borrowed tokens of teams that have parts in these slots, because a new owner
    /// counts on it.
    void void_loans(const slot_set& slots, const context& now_known);

    /// @brief Forgets the loans of a process that is proven to be gone.
    void forget_borrower(const borrower& who, base::time_point now);

    /// @brief Forgets all tokens, as after a lost membership. Reservations stay to be settled.
    void clear();

    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }
    /// @brief Own and borrowed tokens of a team that could be spent here; for tests and metrics.
    [[nodiscard]] micro_tokens spendable(base::team_id team, const context& now_known,
                                         base::time_point now);

private:
    struct part {
        base::vm_id lender;
        base::incarnation process;
        micro_tokens amount;
        std::int64_t stamp = 0;
    };

    struct reservation {
        base::team_id team;
        base::time_point taken_at;
        micro_tokens own;
        std::vector<part> borrowed;
    };

    account& open(const rules::team& who, const context& now_known, base::time_point now);
    account* refreshed(base::team_id team, const context& now_known, base::time_point now);
    static void void_debts(account& which);
    void refresh(account& which, base::team_id team, const context& now_known,
                 base::time_point now);
    reservation take(account& from, const ask& request, base::time_point now);
    bool ask_lenders(account& which, base::team_id team, micro_tokens missing,
                     const context& now_known, base::time_point now, effects& result);
    void balance(account& which, base::team_id team, micro_tokens spent, const context& now_known,
                 base::time_point now, effects& result);
    void send_request(account& which, debt& to, base::team_id team, micro_tokens need,
                      micro_tokens want, base::time_point now, effects& result);
    void tick_debts(account& which, base::team_id team, base::time_point now, effects& result);
    void forget_idle(const context& now_known, base::time_point now);

    settings m_terms;
    std::unordered_map<base::team_id, account> m_accounts;
    std::unordered_map<reservation_id, reservation> m_reservations;
    std::unordered_set<base::team_id> m_borrowing;
    std::uint64_t m_last_request = 0;
    base::time_point m_swept_at{};
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_LEDGER_HPP
