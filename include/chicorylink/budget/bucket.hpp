#ifndef CHICORYLINK_BUDGET_BUCKET_HPP
#define CHICORYLINK_BUDGET_BUCKET_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/amount.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorylink::budget {

/// @brief Identifies one process of a VM.
struct process_id {
    base::vm_id vm;
    base::incarnation process;

    friend constexpr bool operator==(const process_id&, const process_id&) = default;
};

/// @brief A borrower's report on its earlier loans, sent with each new request.
struct loan_report {
    /// Increases with each request of the borrower; only the newest counts.
    std::uint64_t request = 0;
    /// Borrowed tokens still held; the borrower ignores all grants for earlier requests.
    micro_tokens holding;
    /// Borrowed tokens that this report returns.
    micro_tokens returned;
};

/// @brief A team's token bucket at one VM that owns minting rights, with its outstanding loans.
///
/// Invariants: minting never raises balance plus lent tokens above the cap; lending moves tokens
/// from the balance to the lent ones; only `mint` and a bounded `refund` add tokens. A lent token
/// counts as existing until its borrower reports it spent or its term has passed.
class bucket {
public:
    explicit bucket(base::time_point now) : m_minted_until(now) {}

    /// @brief Mints tokens for the time since the last call, up to the cap.
    void mint(base::time_point now);

    /// @brief Changes cap and rate. A lower cap removes tokens above it; a higher one adds none.
    void set_limits(const limits& value, base::time_point now);

    /// @brief Adds a slot: its share of the limits, its balance, and the tokens lent from it
    /// earlier, which may still exist until `lent_until`.
    void attach(const limits& added, micro_tokens balance, micro_tokens lent,
                base::time_point lent_until, base::time_point now);

    /// @brief Tokens that leave the bucket with a slot.
    struct detached_part {
        micro_tokens balance;
        micro_tokens lent;
    };

    /// @brief Removes one of `slots` slots with its share of cap, balance and lent tokens.
    [[nodiscard]] detached_part detach(const limits& removed, std::int64_t slots,
                                       base::time_point now);

    /// @brief Takes tokens for a reservation, as many as are available.
    /// @return The amount taken, at most `wanted`.
    [[nodiscard]] micro_tokens take(micro_tokens wanted, base::time_point now);

    /// @brief Returns a reservation's unused tokens as if they had not been taken at `taken_at`: at
    /// most the room that was left below the cap at every time since.
    /// @return The amount added.
    micro_tokens refund(micro_tokens unused, base::time_point taken_at, base::time_point now);

    /// @brief The lender's result for a report.
    struct acceptance {
        /// The part of the borrower's holding that stays valid for a new term.
        micro_tokens holding;
        /// Whether an unexpired loan to the borrower was known; without one, the borrower's
        /// statements about the past must not be trusted.
        bool known = false;
    };

    /// @brief Applies a borrower's report.
    /// @return Nothing for a repeated or outdated report: its request must not be served.
    [[nodiscard]] std::optional<acceptance> accept(const process_id& borrower,
                                                   const loan_report& report, bool other_region,
                                                   base::time_point until, base::time_point now);

    /// @brief Drops the loans of a process that is proven to be gone.
    void drop_loans_of(const process_id& borrower, base::time_point now);

    /// @brief Moves tokens from the balance to a borrower whose report was accepted.
    /// @return The amount lent: at most `wanted`, the balance and, for a borrower in another
    /// region, what the limits still allow to be lent to other regions.
    [[nodiscard]] micro_tokens lend(const process_id& borrower, micro_tokens wanted,
                                    base::time_point now);

    [[nodiscard]] const limits& present_limits() const { return m_limits; }
    [[nodiscard]] micro_tokens balance() const { return m_balance; }
    [[nodiscard]] micro_tokens lent() const;

    /// @brief Whether replacing this bucket by a new, full one would create no tokens.
    [[nodiscard]] bool is_idle() const;

private:
    struct loan {
        process_id borrower;
        std::uint64_t request = 0;
        micro_tokens amount;
        base::time_point until;
        bool other_region = false;
    };

    /// The highest sum of balance and lent tokens since a time. A refund must not raise any later
    /// sum above the cap. Totals decrease from entry to entry.
    struct peak {
        base::time_point since;
        micro_tokens total;
    };

    void mint_step(base::time_point until);
    void drop_expired(base::time_point now);
    void raise_last_peak(base::time_point now);
    void add_lower_peak(base::time_point now);
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
