#include "chicorylink/membership/permission.hpp"

#include <gtest/gtest.h>

namespace chicorylink::membership {
namespace {

using std::chrono::seconds;

constexpr timing terms;
constexpr base::time_point start{std::chrono::hours{1}};

TEST(permission, recent_list_permits_one_fence_term)
{
    const membership_proofs proofs{
        .list_proof = start, .listed = true, .region_size = 3, .started = start};
    EXPECT_EQ(permitted_until(proofs, terms), start + terms.fence_term);
}

TEST(permission, more_than_half_of_the_region_confirms)
{
    membership_proofs proofs{.region_size = 5, .started = start};
    proofs.acks = {start + seconds{9}};
    EXPECT_FALSE(permitted_until(proofs, terms).has_value());
    proofs.acks = {start + seconds{9}, start + seconds{4}, start + seconds{1}};
    EXPECT_EQ(permitted_until(proofs, terms), start + seconds{4} + terms.fence_term);
}

TEST(permission, acknowledgements_end_with_the_isolation_term)
{
    const auto late = start + terms.isolation_term;
    const membership_proofs proofs{
        .list_proof = start, .region_size = 3, .acks = {late}, .started = start};
    EXPECT_EQ(permitted_until(proofs, terms), late);
}

TEST(permission, region_of_two_acts_alone_only_while_listed)
{
    membership_proofs proofs{
        .list_proof = start, .listed = true, .region_size = 2, .started = start};
    EXPECT_EQ(permitted_until(proofs, terms), start + terms.isolation_term);
    proofs.listed = false;
    EXPECT_EQ(permitted_until(proofs, terms), start + terms.fence_term);
}

TEST(permission, lapsed_process_needs_newer_acknowledgements)
{
    membership_proofs proofs{.list_proof = start + seconds{50},
                             .listed = true,
                             .region_size = 3,
                             .acks = {start + seconds{20}},
                             .started = start,
                             .lapsed_at = start + seconds{30}};
    EXPECT_FALSE(permitted_until(proofs, terms).has_value());
    proofs.acks = {start + seconds{40}};
    EXPECT_EQ(permitted_until(proofs, terms), start + seconds{40} + terms.fence_term);
}

} // namespace
} // namespace chicorylink::membership
