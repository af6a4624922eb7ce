#ifndef CHICORYLINK_FLEET_QUOTA_CREDIT_HPP
#define CHICORYLINK_FLEET_QUOTA_CREDIT_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorylink::fleet {

/// How long a refunded charge may be spent.
inline constexpr base::milliseconds credit_lifetime{1000};

/// No charge is spent again later than this after it was made. A spent credit moves work from the
/// time of its charge to that of its use, so the fleet may exceed a quota by its rate in this time;
/// the overage of the quota's bound, a quarter of eight seconds, covers that.
inline constexpr base::milliseconds max_charge_age{1500};

/// @brief What a request was charged, for a refund.
struct quota_charge {
    /// Charged to the balance, and counted as admitted.
    std::uint64_t from_balance = 0;
    base::time_point charged_at{};
    /// Taken from refunds of earlier requests, and until when these may be spent.
    std::uint64_t from_credit = 0;
    base::time_point credit_expires_at{};
};

/// @brief Refunded charges of one team at one VM. Each unit is spent once, and only in its time.
class quota_credit {
public:
    /// Refunds kept at a time; further ones are dropped, which only admits less.
    static constexpr std::size_t max_refunds = 256;

    /// @brief Adds the charge of a request that surely has not run.
    /// @return Units that may be spent again.
    std::uint64_t refund(const quota_charge& charge, base::time_point now);

    [[nodiscard]] std::uint64_t available(base::time_point now) const;

    /// @brief Takes credit, the soonest to expire first.
    /// @return What was taken; less than `units` if there is less.
    [[nodiscard]] quota_charge take(std::uint64_t units, base::time_point now);

private:
    struct entry {
        std::uint64_t units = 0;
        base::time_point expires_at{};
    };
    [[nodiscard]] std::uint64_t add(std::uint64_t units, base::time_point expires_at,
                                    base::time_point now);

    /// Ordered by expiry.
    std::vector<entry> m_refunds;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_QUOTA_CREDIT_HPP
