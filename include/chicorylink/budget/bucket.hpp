#ifndef CHICORYLINK_BUDGET_BUCKET_HPP
#define CHICORYLINK_BUDGET_BUCKET_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/amount.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorylink::budget {

/// @brief The process that borrows tokens.
struct borrower {
    base::vm_id vm;
    base::incarnation process;

    friend constexpr bool operator==(const borrower&, const borrower&) = default;
};

/// @brief What a borrower says of its loans when it asks again.
struct loan_report {
    /// Grows with each request of the borrower; only the newest counts.
    std::uint64_t request = 0;
    /// Borrowed tokens that it still holds; it ignores all grants for earlier requests.
    micro_tokens holding;
    /// Borrowed tokens that it gives back with this report.
    micro_tokens returned;
};

/// @brief The tokens of one team at one VM that owns minting rights, and what was lent of them.
///
/// Conservation: balance plus lent tokens never exceed the cap by minting, lending moves tokens
/// from the balance to the lent ones, and nothing but `mint` and a bounded `refund` adds any. A
/// lent token counts as existing until its borrower reports it spent or its term has passed.
class bucket {
public:
    explicit bucket(base::time_point now) : m_minted_until(now) {}

    /// @brief Mints for the time since the last call, as far as the cap leaves room.
    void mint(base::time_point now);

    /// @brief Changes cap and rate. A lower cap takes tokens away; a higher one gives none.
    void set_limits(const limits& value, base::time_point now);

    /// @brief Adds a slot: its part of the cap, the tokens that came with it, and tokens lent from
    /// it before that may still exist until a time.
    void attach(const limits& added, micro_tokens balance, micro_tokens lent,
                base::time_point lent_until, base::time_point now);

    /// @brief What leaves with a slot.
    struct part {
        micro_tokens balance;
        micro_tokens lent;
    };

    /// @brief Removes one of `slots` slots with its part of cap, balance and lent tokens.
    [[nodiscard]] part detach(const limits& removed, std::int64_t slots, base::time_point now);

    /// @brief Takes tokens for a reservation or as much as is there.
    /// @return The amount taken, at most `wanted`.
    [[nodiscard]] micro_tokens take(micro_tokens wanted, base::time_point now);

    /// @brief Gives back what a reservation did not use, as if it had not been taken at
    /// `taken_at`: no more than the room that stayed below the cap all the time since.
    /// @return The amount added.
    micro_tokens refund(micro_tokens unused, base::time_point taken_at, base::time_point now);

    /// @brief What the lender makes of a report.
    struct acceptance {
        /// The part of the borrower's holding that stays valid for a new term.
        micro_tokens holding;
        /// Whether an unexpired loan of the borrower was known; without one, nothing that it says
        /// of the past may be believed.
        bool known = false;
    };

    /// @brief Takes in a borrower's report.
    /// @return Nothing when a newer one is known, or the same: the request must not be served.
    [[nodiscard]] std::optional<acceptance> accept(const borrower& who, const loan_report& report,
                                                   bool other_region, base::time_point until,
                                                   base::time_point now);

    /// @brief Forgets the loans of a process that is proven to be gone.
    void forget(const borrower& who, base::time_point now);

    /// @brief Moves tokens from the balance to a borrower whose report was accepted.
    /// @return The amount lent: at most `wanted`, the balance, and for another region so much that
    /// no more is lent there than the limits allow.
    [[nodiscard]] micro_tokens lend(const borrower& who, micro_tokens wanted, base::time_point now);

    [[nodiscard]] const limits& present_limits() const { return m_limits; }
    [[nodiscard]] micro_tokens balance() const { return m_balance; }
    [[nodiscard]] micro_tokens lent() const;

    /// @brief Whether forgetting this bucket and starting again with a full one creates nothing.
    [[nodiscard]] bool is_idle() const;

private:
    struct loan {
        borrower who;
        std::uint64_t request = 0;
        micro_tokens amount;
        base::time_point until;
        bool other_region = false;
    };

    /// The highest sum of balance and lent tokens from a time on. A refund may not lift any later
    /// sum above the cap. Peaks fall from entry to entry.
    struct peak {
        base::time_point since;
        micro_tokens height;
    };

    void mint_step(base::time_point until);
    void drop_expired(base::time_point now);
    void note_peak(base::time_point now);
    void note_fall(base::time_point now);
    void merge_peaks();
    [[nodiscard]] micro_tokens peak_step() const;

    limits m_limits;
    micro_tokens m_balance;
    base::time_point m_minted_until;
    std::vector<loan> m_loans;
    std::vector<peak> m_peaks;
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_BUCKET_HPP
