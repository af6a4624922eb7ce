#ifndef CHICORYLINK_BUDGET_MESSAGE_HPP
#define CHICORYLINK_BUDGET_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/budget/amount.hpp"
#include "chicorylink/budget/placement.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace chicorylink::budget {

/// @brief An older split of a team that some VM may still use: shares stay within both splits until
/// all VMs of its regions have a rulebook of at least the version that replaced it.
struct held_split {
    base::team_id team;
    base::config_version replaced_by;
    split team_split;

    friend bool operator==(const held_split&, const held_split&) = default;
};

/// @brief Asks a VM of the region whether slots without a known owner may be taken.
struct claim {
    std::uint64_t round = 0;
    slot_set slots;
};

/// @brief The answer to a claim. The sender promises the slots that are not denied.
struct claim_answer {
    std::uint64_t round = 0;
    slot_set denied;
    /// Whether the answering process has run with a fresh member list for the whole settle time, so
    /// that it would know of an owner that the claimant does not know.
    bool vouched = false;
    base::config_version version;
    std::vector<held_split> held;
};

/// @brief One slot in a transfer.
struct moved_slot {
    std::uint16_t slot = 0;
    /// How long ago the slot was empty and began to mint.
    base::nanoseconds age{};
    /// How long loans of a former owner may still exist.
    base::nanoseconds quarantine{};
};

/// @brief A team's balance within a moved slot; that of an unlisted team follows from the age.
struct moved_balance {
    base::team_id team;
    std::uint16_t slot = 0;
    micro_tokens balance;
    micro_tokens lent;
};

/// @brief Transfers slots. The giver stops owning them before it sends this message.
struct slot_transfer {
    std::uint64_t id = 0;
    /// The claim that this transfer answers.
    std::uint64_t round = 0;
    /// The receiving process; no other process may accept the transfer.
    base::incarnation to;
    base::config_version version;
    std::vector<moved_slot> slots;
    std::vector<moved_balance> balances;
    std::vector<held_split> held;
};

/// @brief Tells the giver that the transfer was accepted, or that it never will be.
struct transfer_answer {
    std::uint64_t id = 0;
    bool accepted = false;
};

/// @brief Borrowed tokens that reservations did not use.
struct loan_refund {
    /// A time on the lender's clock at or before the reservations.
    std::int64_t stamp = 0;
    micro_tokens amount;
};

/// @brief Asks a lender for tokens and reports on those borrowed earlier.
struct loan_request {
    base::team_id team;
    std::uint64_t request = 0;
    /// Tokens that a waiting request lacks.
    micro_tokens need;
    /// Total tokens wanted; those beyond `need` are lent only from a surplus.
    micro_tokens want;
    micro_tokens holding;
    micro_tokens returned;
    std::vector<loan_refund> refunds;
    /// Whether the borrower is in another region than the lender.
    bool other_region = false;
    /// Fill level of the borrower's own bucket, in thousandths.
    std::int64_t level_per_mille = 0;
};

/// @brief The lender's answer to a loan request.
struct loan_grant {
    base::team_id team;
    std::uint64_t request = 0;
    micro_tokens amount;
    /// The part of the reported holding that stays valid for a new term.
    micro_tokens holding;
    /// Tokens that the lender has left to lend.
    micro_tokens left;
    /// The time on the lender's clock; only the lender interprets it.
    std::int64_t stamp = 0;
    /// The version of the rules that the lender uses.
    base::config_version version;
};

/// @brief Asks a VM for the version of the rulebook that it uses.
struct version_query {};

struct version_answer {
    base::config_version version;
};

using message = std::variant<claim, claim_answer, slot_transfer, transfer_answer, loan_request,
                             loan_grant, version_query, version_answer>;

/// @brief A message to send to a VM.
struct outgoing {
    base::vm_id to;
    message body;
};

/// @brief Actions that the caller of an engine function has to perform.
struct effects {
    std::vector<outgoing> messages;
    /// Teams whose waiting requests should be retried now.
    std::vector<base::team_id> ready;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_MESSAGE_HPP
