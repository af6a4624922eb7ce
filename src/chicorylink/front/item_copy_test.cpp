#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/front/item_copy.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using std::chrono::seconds;

/// Decodes test items, each of which is a target named by its key.
fleet::decoded_item decode(const fleet::published_item& item)
{
    const fleet::target_name name{item.key};
    if (item.removed) {
        return fleet::target_gone_item{name, {}};
    }
    fleet::target_entry entry;
    entry.name = name;
    return fleet::target_item{entry};
}

fleet::store_revision rev(std::uint64_t number)
{
    return {fleet::store_era{1}, number};
}

base::time_point at(seconds since_boot)
{
    return base::time_point{since_boot};
}

/// Copies to one VM what another one announces, as a VM that doesn't read the store does.
void copy_newer_items(const fleet::published_state& from, fleet::published_state& to,
                      base::time_point now)
{
    const auto query = items_to_copy(from.items_revision(), to.as_of(), {});
    const auto copy = decode_item_copy(encode(make_item_copy(from, query, now)), {}).value();
    (void)apply_item_copy(to, copy, now, true, now);
}

// Guards against a removed target that stays in use at a VM whose copies come from one that was
// started after the removal: the changes that this one knows don't hold it.
TEST(item_copy, brings_a_removal_from_before_the_snapshot_of_its_vm)
{
    fleet::published_state peer(&decode);
    fleet::published_state newcomer(&decode);
    (void)peer.apply_snapshot({{"a", {}, rev(4)}, {"b", {}, rev(5)}}, rev(5), at(seconds{1}),
                              at(seconds{1}));
    // The store removed the first target at revision 6.
    (void)newcomer.apply_snapshot({{"b", {}, rev(5)}, {"c", {}, rev(8)}}, rev(8), at(seconds{2}),
                                  at(seconds{2}));
    copy_newer_items(newcomer, peer, at(seconds{2}));
    EXPECT_FALSE(peer.targets().contains(fleet::target_name{"a"}));
    EXPECT_TRUE(peer.targets().contains(fleet::target_name{"c"}));
}

// Guards against whole copies for VMs that lack a few items: the copies of a large fleet at once
// take a VM longer than its peers wait.
TEST(item_copy, holds_the_changes_alone_when_all_removals_since_are_known)
{
    fleet::published_state state(&decode);
    (void)state.apply_snapshot({{"a", {}, rev(4)}, {"b", {}, rev(5)}}, rev(5), at(seconds{1}),
                               at(seconds{1}));
    (void)state.apply_changes({{"a", {}, rev(6), true}}, rev(6), at(seconds{2}), at(seconds{2}));
    const auto copy = make_item_copy(state, {rev(5), {}}, at(seconds{2}));
    ASSERT_EQ(copy.items.size(), 1U);
    EXPECT_TRUE(copy.items.front().removed);
    EXPECT_EQ(copy.after, rev(5));
    EXPECT_EQ(copy.as_of, rev(6));
}

// Guards against a removed target that stays in use at a VM that had copied nothing for a while.
TEST(item_copy, shows_that_the_store_was_not_away)
{
    fleet::published_state reader(&decode);
    fleet::published_state peer(&decode);
    const fleet::published_item target{"a", {}, rev(4)};
    (void)reader.apply_snapshot({target}, rev(4), at(seconds{1}), at(seconds{1}));
    (void)peer.apply_snapshot({target}, rev(4), at(seconds{1}), at(seconds{1}));
    for (int second = 2; second < 9; ++second) {
        (void)reader.apply_changes({}, rev(4), at(seconds{second}), at(seconds{second}));
    }
    (void)reader.apply_changes({{"a", {}, rev(6), true}}, rev(6), at(seconds{9}), at(seconds{9}));
    copy_newer_items(reader, peer, at(seconds{9}));
    EXPECT_FALSE(peer.contact().outage());
    EXPECT_TRUE(peer.targets().empty());
}

} // namespace
} // namespace chicorylink::front
