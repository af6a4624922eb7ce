#ifndef CHICORYLINK_BUDGET_TESTING_BASELINE_BUCKETS_HPP
#define CHICORYLINK_BUDGET_TESTING_BASELINE_BUCKETS_HPP

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace chicorylink::budget::testing {

/// @brief Plain token buckets per team and index, as baselines. A single index for the whole fleet
/// gives the unsafe oracle; one per VM a static split; one per region a single holder in each
/// region that every VM of the region reaches without delay.
class baseline_buckets {
public:
    /// @brief Takes tokens if enough are available.
    bool reserve(base::team_id team, std::uint64_t bucket_index, double rate, double burst,
                 double upper, double now)
    {
        auto& entry = m_buckets.try_emplace({team, bucket_index}, bucket{burst, now}).first->second;
        entry.mint(rate, burst, now);
        if (entry.balance < upper) {
            return false;
        }
        entry.balance -= upper;
        return true;
    }

    /// @brief Returns the tokens that a request did not use.
    void refund(base::team_id team, std::uint64_t bucket_index, double rate, double burst,
                double unused, double now)
    {
        auto& entry = m_buckets.at({team, bucket_index});
        entry.mint(rate, burst, now);
        entry.balance = std::min(burst, entry.balance + unused);
    }

private:
    struct bucket {
        double balance;
        double minted_until;

        void mint(double rate, double burst, double now)
        {
            balance = std::min(burst, balance + rate * (now - minted_until));
            minted_until = now;
        }
    };

    std::map<std::pair<base::team_id, std::uint64_t>, bucket> m_buckets;
};

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_BASELINE_BUCKETS_HPP
