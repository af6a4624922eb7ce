// Lender and borrower against crafted messages. Guards against repeated, late or outdated messages
// that would lend, refund or spend a token twice.
#include "chicorylink/budget/engine.hpp"
#include "chicorylink/budget/testing/one_team.hpp"

#include <gtest/gtest.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;

const base::region_id region = base::id_of<base::region_id>("a");
const base::team_id team = testing::one_team;
const base::vm_id self{1};
const base::vm_id other_vm{2};
const base::incarnation other_process{2};

/// One VM. With `alone` it owns all slots after 11 s; otherwise another VM is listed that does not
/// answer claims.
struct one_vm {
    explicit one_vm(bool alone) : core({self, region, base::incarnation{1}}, {}, now)
    {
        (void)core.on_rules(testing::one_team_book(1, 100, 100'000, "a"), now);
        membership::view member_list;
        member_list.self = self;
        member_list.list_is_fresh = true;
        member_list.member_until = now + std::chrono::hours(2);
        for (const auto id : {self, other_vm}) {
            if (id == self || !alone) {
                membership::member entry;
                entry.id = id;
                entry.region = region;
                entry.process = base::incarnation{id.value()};
                entry.state = membership::member_state::live;
                member_list.members.push_back(entry);
            }
        }
        (void)core.on_view(member_list, now);
        now += 11s;
        (void)core.tick(now);
        now += 1000s;
    }

    std::vector<outgoing> receive(const message& body)
    {
        return core.on_message(other_vm, other_process, body, now).messages;
    }

    std::int64_t spendable() { return whole_tokens(core.spendable(team, now)).value(); }

    /// Reserves tokens that this VM lacks; returns the resulting request to the lender.
    loan_request request_loan(std::int64_t amount)
    {
        effects result;
        (void)core.reserve({team, base::tokens{amount}, now}, now, result);
        for (const auto& each : result.messages) {
            if (const auto* request = std::get_if<loan_request>(&each.body)) {
                return *request;
            }
        }
        return {};
    }

    loan_grant grant_for(const loan_request& request, std::int64_t amount)
    {
        loan_grant grant;
        grant.team = team;
        grant.request = request.request;
        grant.amount = to_micro(base::tokens{amount});
        grant.holding = request.holding;
        grant.version = base::config_version{1};
        return grant;
    }

    base::time_point now{1h};
    engine core;
};

loan_request make_request(std::uint64_t number, std::int64_t need)
{
    loan_request request;
    request.team = team;
    request.request = number;
    request.need = to_micro(base::tokens{need});
    request.want = request.need;
    return request;
}

TEST(loans, a_lender_gives_what_it_has_and_no_repeat_is_served)
{
    one_vm lender(true);
    const auto answers = lender.receive(make_request(1, 40'000));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(std::get<loan_grant>(answers[0].body).amount, to_micro(base::tokens{40'000}));
    const auto left = lender.spendable();
    EXPECT_TRUE(lender.receive(make_request(1, 40'000)).empty());
    EXPECT_EQ(lender.spendable(), left);
}

TEST(loans, a_refund_reported_after_the_loan_term_is_ignored)
{
    one_vm lender(true);
    (void)lender.receive(make_request(1, 90'000));
    lender.now += 5s;
    // Taking a token leaves room below the cap that a refund could fill.
    effects ignored;
    (void)lender.core.reserve({team, base::tokens{1}, lender.now}, lender.now, ignored);
    lender.now += 1s;
    auto late = make_request(2, 0);
    late.refunds.push_back({lender.now.time_since_epoch().count(), to_micro(base::tokens{9'000})});
    const auto before = lender.spendable();
    (void)lender.receive(late);
    EXPECT_EQ(lender.spendable(), before);
}

TEST(loans, a_grant_for_an_earlier_request_is_ignored)
{
    one_vm borrower(false);
    const auto first = borrower.request_loan(1'000);
    ASSERT_GT(first.request, 0U);
    borrower.now += 2s;
    (void)borrower.core.tick(borrower.now);
    borrower.now += 2s;
    const auto second = borrower.request_loan(1'000);
    ASSERT_GT(second.request, first.request);
    (void)borrower.receive(borrower.grant_for(first, 1'000));
    EXPECT_EQ(borrower.spendable(), 0);
    (void)borrower.receive(borrower.grant_for(second, 1'000));
    EXPECT_EQ(borrower.spendable(), 1'000);
    (void)borrower.receive(borrower.grant_for(second, 1'000));
    EXPECT_EQ(borrower.spendable(), 1'000);
}

TEST(loans, borrowed_tokens_expire_with_their_term)
{
    one_vm borrower(false);
    const auto request = borrower.request_loan(1'000);
    borrower.now += 1s;
    (void)borrower.receive(borrower.grant_for(request, 1'000));
    EXPECT_EQ(borrower.spendable(), 1'000);
    borrower.now += 3s;
    EXPECT_EQ(borrower.spendable(), 0);
}

TEST(loans, only_the_holding_that_the_lender_counts_is_renewed)
{
    one_vm borrower(false);
    (void)borrower.receive(borrower.grant_for(borrower.request_loan(1'000), 1'000));
    const auto request = borrower.request_loan(1'500);
    EXPECT_EQ(request.holding, to_micro(base::tokens{1'000}));
    auto grant = borrower.grant_for(request, 100);
    grant.holding = micro_tokens{0};
    (void)borrower.receive(grant);
    EXPECT_EQ(borrower.spendable(), 100);
}

TEST(loans, granting_a_claim_drops_the_loans_of_its_slots)
{
    one_vm borrower(false);
    (void)borrower.receive(borrower.grant_for(borrower.request_loan(1'000), 1'000));
    claim everything{1, {}};
    everything.slots.set();
    (void)borrower.receive(everything);
    EXPECT_EQ(borrower.spendable(), 0);
}

TEST(loans, a_grant_under_older_rules_is_ignored)
{
    one_vm borrower(false);
    auto grant = borrower.grant_for(borrower.request_loan(1'000), 1'000);
    grant.version = base::config_version{0};
    (void)borrower.receive(grant);
    EXPECT_EQ(borrower.spendable(), 0);
}

TEST(loans, nothing_is_lent_or_reserved_after_the_membership_lapsed)
{
    one_vm lender(true);
    lender.now += std::chrono::hours(2);
    EXPECT_TRUE(lender.receive(make_request(1, 1'000)).empty());
    effects result;
    const auto verdict =
        lender.core.reserve({team, base::tokens{1}, lender.now}, lender.now, result);
    ASSERT_TRUE(std::holds_alternative<refused>(verdict));
    EXPECT_EQ(std::get<refused>(verdict).reason, refusal::not_a_member);
}

} // namespace
} // namespace chicorylink::budget
