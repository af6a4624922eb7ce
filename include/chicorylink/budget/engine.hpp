#ifndef CHICORYLINK_BUDGET_ENGINE_HPP
#define CHICORYLINK_BUDGET_ENGINE_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/budget/admission.hpp"
#include "chicorylink/budget/ledger.hpp"
#include "chicorylink/budget/message.hpp"
#include "chicorylink/budget/settings.hpp"
#include "chicorylink/budget/slot_table.hpp"
#include "chicorylink/budget/version_watch.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace chicorylink::budget {

/// @brief The budgets of all teams at one VM.
///
/// Thread-safe: accounts are sharded by team, each shard with its own lock; slots, members and
/// rules are under another lock, which requests never take. Effects are returned, not performed.
class engine {
public:
    /// @param start The present time; the process owns no slots yet.
    engine(identity self, const settings& budget_settings, base::time_point start);

    /// @brief Applies a rulebook. One that is not newer than the current one is ignored.
    effects on_rules(std::shared_ptr<const rules::rulebook> book, base::time_point now);

    /// @brief Applies a member list. To be called on each change and whenever `member_until` grew;
    /// if the membership lapsed in between, or the incarnation changed, all tokens held here are
    /// lost.
    effects on_view(const membership::view& members, base::time_point now);

    /// @brief Runs periodic work. To be called every 100 ms.
    effects tick(base::time_point now);

    /// @brief Handles a message from a process of another VM.
    effects on_message(base::vm_id from, base::incarnation process, const message& body,
                       base::time_point now);

    /// @brief Reserves tokens for a request; they count as admitted from now on.
    /// @param result Receives the messages to send.
    [[nodiscard]] admission reserve(const admission_request& request, base::time_point now,
                                    effects& result);

    /// @brief Whether a reservation may still be used. To be checked right before the request is
    /// sent to a target; if false, release the reservation.
    [[nodiscard]] bool confirm(reservation_id id, base::time_point now) const;

    /// @brief Ends a reservation with the tokens that were used, also when the response was
    /// aborted.
    base::result<void> settle(reservation_id id, base::tokens used, base::time_point now);

    /// @brief Ends the reservation of a request that did not run.
    base::result<void> release(reservation_id id, base::time_point now);

    /// @brief Starts to drain: returns borrowed tokens and gives slots to any VM that claims them.
    effects drain(base::time_point now);

    /// @brief Whether all slots have been handed over.
    [[nodiscard]] bool drained() const;

    /// @brief Values for metrics and tests.
    [[nodiscard]] std::size_t owned_slot_count() const;
    [[nodiscard]] std::size_t account_count() const;
    [[nodiscard]] micro_tokens spendable(base::team_id team, base::time_point now);
    /// @brief Whether shares of some teams are held back until all VMs have the newest rulebook.
    [[nodiscard]] bool shares_held_back() const;

private:
    struct shard {
        explicit shard(const settings& budget_settings) : accounts(budget_settings) {}
        mutable std::mutex lock;
        ledger accounts;
        std::shared_ptr<const context> current_context;
        std::uint64_t last_reservation = 0;
    };

    static constexpr std::size_t shard_count = 16;

    [[nodiscard]] shard& shard_of(base::team_id team);
    [[nodiscard]] shard& shard_of(reservation_id id) const;
    [[nodiscard]] bool may_spend(base::time_point now) const;
    [[nodiscard]] std::shared_ptr<context> next_context() const;
    /// Returns whether the intended owners changed.
    bool update_owners(const membership::view& members);
    void publish(base::time_point now);
    void open_accounts_with_new_split(const rules::rulebook& before, const rules::rulebook& after,
                                      base::time_point now);
    void attach_slots(const slot_set& slots, const std::vector<moved_balance>& balances,
                      base::time_point now);
    void hand_over_slots(const process_id& to, const claim& request, base::time_point now,
                         effects& result);
    void try_claim(base::time_point now, effects& result);
    void drop_all_tokens(base::time_point now);
    void add_held_splits(const std::vector<held_split>& held, base::config_version version);

    void handle(const process_id& from, const claim& body, base::time_point now, effects& result);
    void handle(const process_id& from, const claim_answer& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const slot_transfer& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const transfer_answer& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const loan_request& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const loan_grant& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const version_query& body, base::time_point now,
                effects& result);
    void handle(const process_id& from, const version_answer& body, base::time_point now,
                effects& result);

    identity m_self;
    settings m_settings;

    /// Guards all members below except shards and atomics; locked before a shard's lock.
    mutable std::mutex m_lock;
    slot_table m_slots;
    version_watch m_versions;
    std::shared_ptr<const rules::rulebook> m_book;
    std::map<base::region_id, slot_owners> m_owners;
    std::uint64_t m_live_vms_digest = 0;
    base::config_version m_required_version;
    std::uint64_t m_last_context = 0;

    std::atomic<base::time_point::rep> m_member_until;
    std::atomic<bool> m_rules_are_current{false};
    std::array<std::unique_ptr<shard>, shard_count> m_shards;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_ENGINE_HPP
