#ifndef CHICORYLINK_BUDGET_TESTING_REFERENCE_WAYS_HPP
#define CHICORYLINK_BUDGET_TESTING_REFERENCE_WAYS_HPP

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace chicorylink::budget::testing {

/// @brief Plain token buckets, one for each team and place: with a single place for the whole
/// fleet the unsafe oracle, with one for each VM the static split, with one for each region a
/// single holder a region that every VM of the region reaches at once.
class plain_buckets {
public:
    /// @brief Takes tokens when they are there.
    bool reserve(base::team_id team, std::uint64_t place, double rate, double burst, double upper,
                 double now)
    {
        auto& which = m_buckets.try_emplace({team, place}, bucket{burst, now}).first->second;
        which.mint(rate, burst, now);
        if (which.balance < upper) {
            return false;
        }
        which.balance -= upper;
        return true;
    }

    /// @brief Gives back what a request did not use.
    void refund(base::team_id team, std::uint64_t place, double rate, double burst, double unused,
                double now)
    {
        auto& which = m_buckets.at({team, place});
        which.mint(rate, burst, now);
        which.balance = std::min(burst, which.balance + unused);
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

#endif // CHICORYLINK_BUDGET_TESTING_REFERENCE_WAYS_HPP
