#ifndef CHICORYLINK_BUDGET_MESSAGE_HPP
#define CHICORYLINK_BUDGET_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/budget/amount.hpp"
#include "chicorylink/budget/placement.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace chicorylink::budget {

/// @brief An older split of a team that some VM may still act on: shares stay within both splits
/// until every VM concerned has a rulebook of the version that replaced it.
struct held_split {
    base::team_id team;
    base::config_version replaced_by;
    split how;

    friend bool operator==(const held_split&, const held_split&) = default;
};

/// @brief Asks a VM of the region whether slots without a known owner may be taken.
struct claim {
    std::uint64_t round = 0;
    slot_set slots;
};

/// @brief The answer to a claim; a promise for the slots that are not denied.
struct claim_answer {
    std::uint64_t round = 0;
    slot_set denied;
    /// Whether the answering process ran with a fresh member list for a whole settling time, so
    /// that it would know of an owner that the claimant does not.
    bool vouched = false;
    base::config_version version;
    std::vector<held_split> held;
};

/// @brief One slot in a transfer.
struct moved_slot {
    std::uint16_t slot = 0;
    /// How long ago it was empty and began to mint.
    base::nanoseconds age{};
    /// How long loans of a former owner may still exist.
    base::nanoseconds quarantine{};
};

/// @brief A team's balance within a moved slot; teams that are not listed follow from the age.
struct moved_balance {
    base::team_id team;
    std::uint16_t slot = 0;
    micro_tokens balance;
    micro_tokens lent;
};

/// @brief Hands slots over. The giver has given them up before it sends this.
struct slot_transfer {
    std::uint64_t id = 0;
    /// The claim that it answers.
    std::uint64_t round = 0;
    /// The process that it is meant for; another one must not take it.
    base::incarnation to;
    base::config_version version;
    std::vector<moved_slot> slots;
    std::vector<moved_balance> balances;
    std::vector<held_split> held;
};

/// @brief Tells the giver that the slots were taken, or never will be by that message.
struct transfer_answer {
    std::uint64_t id = 0;
    bool accepted = false;
};

/// @brief What reservations from borrowed tokens did not use.
struct loan_refund {
    /// A time of the lender's clock at or before the reservations.
    std::int64_t stamp = 0;
    micro_tokens amount;
};

/// @brief Asks a lender for tokens and reports on those borrowed before.
struct loan_request {
    base::team_id team;
    std::uint64_t request = 0;
    /// What a waiting request lacks.
    micro_tokens need;
    /// What is wanted in all; tokens beyond the need are lent from plenty only.
    micro_tokens want;
    micro_tokens holding;
    micro_tokens returned;
    std::vector<loan_refund> refunds;
    /// Whether the borrower asks from another region.
    bool other_region = false;
    /// How full the borrower's own bucket is, in thousandths.
    std::int64_t level_per_mille = 0;
};

/// @brief The lender's answer.
struct loan_grant {
    base::team_id team;
    std::uint64_t request = 0;
    micro_tokens amount;
    /// The part of the reported holding that stays valid for a new term.
    micro_tokens holding;
    /// What the lender has left to lend.
    micro_tokens left;
    /// The lender's clock, for the lender only.
    std::int64_t stamp = 0;
    /// The rules that the lender acts on.
    base::config_version version;
};

/// @brief Asks a VM for the version of the rulebook that it acts on.
struct version_query {};

struct version_answer {
    base::config_version version;
};

using message = std::variant<claim, claim_answer, slot_transfer, transfer_answer, loan_request,
                             loan_grant, version_query, version_answer>;

/// @brief A message to be sent to a VM.
struct outgoing {
    base::vm_id to;
    message body;
};

/// @brief What the caller of a decision has to do.
struct effects {
    std::vector<outgoing> messages;
    /// Teams whose waiting requests should be reserved again now.
    std::vector<base::team_id> ready;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_MESSAGE_HPP
