// Guards against two owners of one slot: each test checks one rule of claims and transfers.
#include "chicorylink/budget/slot_table.hpp"
#include "chicorylink/budget/testing/one_team.hpp"
#include "chicorylink/budget/version_watch.hpp"

#include <gtest/gtest.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;

const base::region_id region = base::id_of<base::region_id>("a");
const base::vm_id self{1};
const base::vm_id other_vm{2};
const base::vm_id third_vm{3};

membership::member vm(base::vm_id id, std::uint64_t process, std::string address,
                      membership::member_state state = membership::member_state::live)
{
    membership::member entry;
    entry.id = id;
    entry.region = region;
    entry.process = base::incarnation{process};
    entry.peer_address = std::move(address);
    entry.state = state;
    return entry;
}

/// A slot table of a VM that is the intended owner of all slots of its region.
struct claimant {
    void update_view(std::vector<membership::member> members)
    {
        members.push_back(vm(self, 1, "self"));
        member_list.self = self;
        member_list.list_is_fresh = true;
        member_list.members = std::move(members);
        slot_owners all_slots;
        all_slots.fill(self);
        table.on_view(member_list, all_slots, now, gone);
    }

    slot_set answered_by(base::vm_id from, const claim& own_claim, bool vouched = true)
    {
        claim_answer answer;
        answer.round = own_claim.round;
        answer.vouched = vouched;
        return table.on_claim_answer(from, answer, base::config_version{}, now);
    }

    base::time_point now{1h};
    membership::view member_list;
    std::vector<process_id> gone;
    slot_table table{{self, region, base::incarnation{1}}, {}, now};
};

TEST(slot_table, a_claim_needs_every_vm_that_is_not_gone)
{
    claimant local_vm;
    local_vm.update_view(
        {vm(other_vm, 2, "other"), vm(third_vm, 3, "third", membership::member_state::suspect)});
    const auto own_claim = local_vm.table.begin_claim(local_vm.now, true);
    ASSERT_TRUE(own_claim);
    EXPECT_TRUE(local_vm.answered_by(other_vm, *own_claim).none());
    EXPECT_EQ(local_vm.answered_by(third_vm, *own_claim).count(), slot_count);
}

TEST(slot_table, a_new_process_takes_nothing_unless_a_settled_vm_answered)
{
    claimant local_vm;
    local_vm.update_view({vm(other_vm, 2, "other")});
    const auto own_claim = local_vm.table.begin_claim(local_vm.now, true);
    EXPECT_TRUE(local_vm.answered_by(other_vm, *own_claim, false).none());
    local_vm.now += 11s;
    local_vm.update_view({vm(other_vm, 2, "other")});
    const auto later = local_vm.table.begin_claim(local_vm.now, true);
    EXPECT_EQ(local_vm.answered_by(other_vm, *later, false).count(), slot_count);
}

TEST(slot_table, a_process_replaced_at_another_address_blocks_claims_for_a_term)
{
    claimant local_vm;
    local_vm.update_view({vm(other_vm, 2, "other")});
    local_vm.update_view({vm(other_vm, 3, "elsewhere")});
    EXPECT_FALSE(local_vm.table.begin_claim(local_vm.now, true));
    EXPECT_TRUE(local_vm.gone.empty());
    local_vm.now += 11s;
    EXPECT_TRUE(local_vm.table.begin_claim(local_vm.now, true));
}

TEST(slot_table, a_new_process_at_the_same_address_proves_the_old_one_gone)
{
    claimant local_vm;
    local_vm.update_view({vm(other_vm, 2, "other")});
    local_vm.update_view({vm(other_vm, 3, "other")});
    EXPECT_TRUE(local_vm.table.begin_claim(local_vm.now, true));
    ASSERT_EQ(local_vm.gone.size(), 1U);
    EXPECT_EQ(local_vm.gone.front().process, base::incarnation{2});
}

TEST(slot_table, a_transfer_is_accepted_once_and_only_for_a_recent_claim)
{
    claimant local_vm;
    local_vm.update_view({vm(other_vm, 2, "other")});
    const auto own_claim = local_vm.table.begin_claim(local_vm.now, true);
    const process_id sender{other_vm, base::incarnation{2}};
    slot_transfer moved;
    moved.id = 7;
    moved.to = base::incarnation{1};
    moved.slots.push_back({5, 1s, 0s});
    moved.round = own_claim->round + 1;
    EXPECT_FALSE(local_vm.table.on_transfer(sender, moved, true, local_vm.now).accepted);
    moved.id = 8;
    moved.round = own_claim->round;
    EXPECT_TRUE(local_vm.table.on_transfer(sender, moved, true, local_vm.now).accepted);
    moved.id = 9;
    EXPECT_FALSE(local_vm.table.on_transfer(sender, moved, true, local_vm.now).accepted);
    moved.id = 10;
    moved.slots.front().slot = 6;
    local_vm.now += 6s;
    EXPECT_FALSE(local_vm.table.on_transfer(sender, moved, true, local_vm.now).accepted);
}

TEST(slot_table, a_vm_does_not_claim_or_grant_a_slot_that_it_promised)
{
    claimant local_vm;
    local_vm.now += 11s;
    local_vm.update_view({vm(other_vm, 2, "other")});
    claim other_claim{1, {}};
    other_claim.slots.set();
    EXPECT_TRUE(
        local_vm.table.answer_claim({other_vm, base::incarnation{2}}, other_claim, local_vm.now)
            .denied.none());
    EXPECT_FALSE(local_vm.table.begin_claim(local_vm.now + 11s, true));
    EXPECT_TRUE(local_vm.table.begin_claim(local_vm.now + 13s, true));
    EXPECT_TRUE(
        local_vm.table.answer_claim({third_vm, base::incarnation{3}}, other_claim, local_vm.now)
            .denied.all());
}

TEST(version_watch, keeps_an_older_split_until_every_vm_has_the_new_rules)
{
    version_watch watch{settings{}};
    claimant local_vm;
    local_vm.update_view({vm(other_vm, 2, "other")});
    watch.on_view(local_vm.member_list);
    const auto before = testing::one_team_book(1, 10, 10'000, "a");
    watch.on_rules(before.get(), *testing::one_team_book(2, 10, 100'000, "a"));
    EXPECT_EQ(watch.held().size(), 1U);
    EXPECT_EQ(watch.queries(local_vm.now).size(), 1U);
    watch.on_answer({other_vm, base::incarnation{2}}, base::config_version{1});
    EXPECT_FALSE(watch.drop_replaced());
    watch.on_answer({other_vm, base::incarnation{2}}, base::config_version{2});
    EXPECT_TRUE(watch.drop_replaced());
}

} // namespace
} // namespace chicorylink::budget
