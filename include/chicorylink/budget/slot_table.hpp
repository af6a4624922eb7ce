#ifndef CHICORYLINK_BUDGET_SLOT_TABLE_HPP
#define CHICORYLINK_BUDGET_SLOT_TABLE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/bucket.hpp"
#include "chicorylink/budget/context.hpp"
#include "chicorylink/budget/message.hpp"
#include "chicorylink/budget/placement.hpp"
#include "chicorylink/budget/settings.hpp"
#include "chicorylink/membership/view.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chicorylink::budget {

/// @brief The VM, region and incarnation of this process.
struct identity {
    base::vm_id vm;
    base::region_id region;
    base::incarnation process;
};

/// @brief The slots of its region that this process owns, and the protocol that gives each slot at
/// most one owner.
///
/// A process gains a slot by a transfer from its owner, or by a claim that all VMs of the region
/// answered except those proven to be gone. Not thread-safe: the engine holds a lock.
class slot_table {
public:
    slot_table(identity self, const settings& budget_settings, base::time_point start);

    /// @brief Applies a member list and the intended owners computed from it. Processes found to be
    /// gone are appended to `gone`.
    void on_view(const membership::view& members, const slot_owners& intended, base::time_point now,
                 std::vector<process_id>& gone);

    /// @brief Drops all ownership, as after a lost membership.
    void clear(base::time_point now);

    /// @brief Changes the incarnation of this process, after all ownership was dropped.
    void set_incarnation(base::incarnation process) { m_self.process = process; }

    /// @brief Starts a claim of slots that are intended for this VM but not owned, when one is due.
    [[nodiscard]] std::optional<claim> begin_claim(base::time_point now, bool permitted);

    /// @brief The VMs that must answer a claim.
    [[nodiscard]] std::vector<base::vm_id> claim_recipients() const;

    /// @brief Answers another VM's claim; granted slots are promised to that VM.
    [[nodiscard]] claim_answer answer_claim(const process_id& from, const claim& request,
                                            base::time_point now);

    /// @brief Records an answer to the current claim.
    /// @return The slots that this process owns from now on; empty until the claim is complete.
    [[nodiscard]] slot_set on_claim_answer(base::vm_id from, const claim_answer& answer,
                                           base::config_version own_version, base::time_point now);

    /// @brief Completes the claim if no answer is outstanding; also used after `begin_claim`.
    /// @return The slots that this process owns from now on.
    [[nodiscard]] slot_set finish_claim(base::time_point now);

    /// @brief The claimed slots that are owned here and should move to the claimant.
    [[nodiscard]] slot_set slots_to_transfer(const process_id& claimant, const claim& request,
                                             base::time_point now) const;

    /// @brief Gives up slots and prepares their transfer. The caller adds balances and sends it.
    [[nodiscard]] slot_transfer& begin_transfer(const process_id& to, std::uint64_t round,
                                                const slot_set& slots, base::time_point now);

    /// @brief Accepts or refuses a transfer; accepted slots are owned from now on. Only a transfer
    /// that a recent claim of this process requested is accepted, so that a late one is harmless.
    [[nodiscard]] transfer_answer on_transfer(const process_id& from, const slot_transfer& moved,
                                              bool permitted, base::time_point now);

    /// @brief Completes a transfer. A refused one is returned: its slots are owned here again, and
    /// start from empty if the transfer was made under older rules than `own_version`.
    [[nodiscard]] std::optional<slot_transfer> on_transfer_answer(const process_id& from,
                                                                  const transfer_answer& answer,
                                                                  base::config_version own_version,
                                                                  base::time_point now);

    /// @brief Transfers that are due to be resent.
    [[nodiscard]] std::vector<outgoing> resend(base::time_point now);

    void start_draining() { m_draining = true; }
    [[nodiscard]] bool draining() const { return m_draining; }
    [[nodiscard]] bool drained() const { return m_owned.none() && m_outgoing.empty(); }

    [[nodiscard]] const slot_set& owned() const { return m_owned; }
    [[nodiscard]] const std::array<slot_origin, slot_count>& origins() const { return m_origins; }
    [[nodiscard]] const slot_owners& intended() const { return m_intended; }

private:
    struct peer {
        base::incarnation process;
        std::string address;
        membership::member_state state = membership::member_state::suspect;
        base::time_point known_since;
    };

    /// A process that left the member list or its address without proof that it is gone.
    struct unconfirmed_exit {
        process_id left_process;
        base::time_point until;
    };

    struct promise {
        base::vm_id to;
        base::time_point until{};
    };

    struct claim_round {
        std::uint64_t number = 0;
        slot_set slots;
        base::time_point started;
        std::set<base::vm_id> waiting_for;
        bool vouched = false;
        bool deferred = false;
    };

    struct pending_transfer {
        base::vm_id to;
        slot_transfer body;
        base::time_point sent_at;
    };

    void update_peer(const membership::member& reported, base::time_point now,
                     std::vector<process_id>& gone);
    [[nodiscard]] bool promised_away(std::size_t slot, base::time_point now) const;
    [[nodiscard]] slot_set in_transfer() const;
    void take(const slot_set& slots, base::time_point now);
    void claim_soon();
    void drop_undeliverable();

    identity m_self;
    settings m_settings;
    base::time_point m_started;
    std::map<base::vm_id, peer> m_peers;
    std::vector<unconfirmed_exit> m_unconfirmed_exits;
    slot_owners m_intended{};
    base::time_point m_intended_since;
    bool m_list_is_fresh = false;
    base::time_point m_fresh_since;
    bool m_draining = false;

    slot_set m_owned;
    std::array<slot_origin, slot_count> m_origins{};
    std::array<promise, slot_count> m_promises{};
    std::optional<claim_round> m_claim;
    /// The round of the newest claim of each slot, zero for none; a transfer must name it.
    std::array<std::uint64_t, slot_count> m_claimed_in{};
    base::time_point m_claimed_at{};
    base::time_point m_next_claim{};
    base::nanoseconds m_claim_delay;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, pending_transfer> m_outgoing;
    /// Whether each received transfer was accepted, by giver: repeats get the same answer.
    std::map<base::incarnation, std::map<std::uint64_t, bool>> m_transfer_decisions;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_SLOT_TABLE_HPP
