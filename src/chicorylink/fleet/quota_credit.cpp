#include "chicorylink/fleet/quota_credit.hpp"

#include <algorithm>

namespace chicorylink::fleet {

std::uint64_t quota_credit::add(std::uint64_t units, base::time_point expires_at,
                                base::time_point now)
{
    if (units == 0 || expires_at <= now || m_refunds.size() >= max_refunds) {
        return 0;
    }
    const auto place =
        std::upper_bound(m_refunds.begin(), m_refunds.end(), expires_at,
                         [](base::time_point at, const entry& e) { return at < e.expires_at; });
    m_refunds.insert(place, {units, expires_at});
    return units;
}

std::uint64_t quota_credit::refund(const quota_charge& charge, base::time_point now)
{
    std::erase_if(m_refunds, [&](const entry& e) { return e.expires_at <= now; });
    const auto expires_at = std::min(now + credit_lifetime, charge.charged_at + max_charge_age);
    return add(charge.from_credit, charge.credit_expires_at, now) +
           add(charge.from_balance, expires_at, now);
}

std::uint64_t quota_credit::available(base::time_point now) const
{
    std::uint64_t units = 0;
    for (const auto& e : m_refunds) {
        units += e.expires_at > now ? e.units : 0;
    }
    return units;
}

quota_charge quota_credit::take(std::uint64_t units, base::time_point now)
{
    std::erase_if(m_refunds, [&](const entry& e) { return e.expires_at <= now; });
    quota_charge taken;
    for (auto& e : m_refunds) {
        const auto part = std::min(e.units, units - taken.from_credit);
        if (part == 0) {
            break;
        }
        if (taken.from_credit == 0) {
            taken.credit_expires_at = e.expires_at;
        }
        e.units -= part;
        taken.from_credit += part;
    }
    std::erase_if(m_refunds, [](const entry& e) { return e.units == 0; });
    return taken;
}

} // namespace chicorylink::fleet
