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

/// @brief Who this process is.
struct identity {
    base::vm_id vm;
    base::region_id region;
    base::incarnation process;
};

/// @brief Which slots of its region this process owns, and the exchange that keeps every slot with
/// at most one process.
///
/// A slot is gained by a transfer of its owner, or by a claim that every VM of the region answered
/// which is not proven to be gone. Not thread-safe: the engine holds a lock.
class slot_table {
public:
    slot_table(identity self, const settings& terms, base::time_point start);

    /// @brief Takes in the members and the intended owners that follow from them. Processes found
    /// to be gone are added to `gone`.
    void on_view(const membership::view& members, const slot_owners& intended, base::time_point now,
                 std::vector<borrower>& gone);

    /// @brief Forgets all ownership, as after a lost membership.
    void clear(base::time_point now);

    /// @brief Goes on under another incarnation, after all ownership was forgotten.
    void rename(base::incarnation process) { m_self.process = process; }

    /// @brief Starts a claim of intended slots without an owner when one is due.
    [[nodiscard]] std::optional<claim> begin_claim(base::time_point now, bool permitted);

    /// @brief The VMs whose answer a claim needs.
    [[nodiscard]] std::vector<base::vm_id> claim_recipients() const;

    /// @brief Decides on another VM's claim; slots granted are promised.
    [[nodiscard]] claim_answer answer_claim(const borrower& from, const claim& request,
                                            base::time_point now);

    /// @brief Counts an answer.
    /// @return The slots that this process owns from now on: the claim is complete.
    [[nodiscard]] slot_set on_claim_answer(base::vm_id from, const claim_answer& answer,
                                           base::config_version own_version, base::time_point now);

    /// @brief Ends a claim that needs no answers or has all; used after `begin_claim` too.
    [[nodiscard]] slot_set finish_claim(base::time_point now);

    /// @brief The owned slots of a claim that should move to the claimant.
    [[nodiscard]] slot_set slots_to_give(const borrower& claimant, const claim& request,
                                         base::time_point now) const;

    /// @brief Gives slots up and prepares their transfer. The caller adds balances and sends it.
    [[nodiscard]] slot_transfer& begin_transfer(const borrower& to, std::uint64_t round,
                                                const slot_set& slots, base::time_point now);

    /// @brief Decides whether a transfer is taken; if so the slots are owned from now on. Only one
    /// that a recent claim of this process asked for is, so that a late one is harmless.
    [[nodiscard]] transfer_answer on_transfer(const borrower& from, const slot_transfer& moved,
                                              bool permitted, base::time_point now);

    /// @brief Ends a transfer. A refused one is returned: its slots are owned here again. One made
    /// under older rules than `own_version` begins again from empty.
    [[nodiscard]] std::optional<slot_transfer> on_transfer_answer(const borrower& from,
                                                                  const transfer_answer& answer,
                                                                  base::config_version own_version,
                                                                  base::time_point now);

    /// @brief Transfers that are due to be sent again.
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

    /// A process that left the list, or its address, without proof that it is gone.
    struct unproven {
        borrower who;
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

    void update_peer(const membership::member& seen, base::time_point now,
                     std::vector<borrower>& gone);
    [[nodiscard]] bool promised_away(std::size_t slot, base::time_point now) const;
    [[nodiscard]] slot_set moving() const;
    void take(const slot_set& slots, base::time_point now);
    void claim_soon();
    void drop_undeliverable();

    identity m_self;
    settings m_terms;
    base::time_point m_started;
    std::map<base::vm_id, peer> m_peers;
    std::vector<unproven> m_unproven;
    slot_owners m_intended{};
    base::time_point m_intended_since;
    bool m_list_is_fresh = false;
    base::time_point m_fresh_since;
    bool m_draining = false;

    slot_set m_owned;
    std::array<slot_origin, slot_count> m_origins{};
    std::array<promise, slot_count> m_promises{};
    std::optional<claim_round> m_claim;
    /// The newest claim that asked for each slot; a transfer must name it.
    std::array<std::uint64_t, slot_count> m_invited{};
    base::time_point m_invited_at{};
    base::time_point m_next_claim{};
    base::nanoseconds m_claim_pause;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, pending_transfer> m_outgoing;
    /// Transfers decided on, by giver: repeats get the same answer.
    std::map<base::incarnation, std::map<std::uint64_t, bool>> m_decided;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_SLOT_TABLE_HPP
