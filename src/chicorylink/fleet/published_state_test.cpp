#include "chicorylink/fleet/published_state.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

/// Decodes test items: `config` holds a version, `evac/NAME` an evacuation, `target/NAME` an
/// address.
decoded_item decode(const published_item& item)
{
    if (item.key == "config") {
        return configuration_item{std::make_shared<const configuration>(
            base::config_version{std::stoull(item.value)}, std::vector<route>{},
            std::vector<service>{}, std::vector<team>{}, caller_limits{})};
    }
    if (item.key.starts_with("evac/")) {
        return evacuation_item{data_center_name{item.key.substr(5)}, !item.removed};
    }
    const target_name name{item.key.substr(7)};
    if (item.removed || item.value == "unreadable") {
        return target_gone_item{name, item.removed ? "" : "not JSON"};
    }
    target_entry entry;
    entry.name = name;
    entry.address = item.value;
    return target_item{entry};
}

store_revision rev(std::uint64_t number)
{
    return {store_era{1}, number};
}

published_item item(std::string key, std::string value, std::uint64_t revision)
{
    return {std::move(key), std::move(value), rev(revision), false};
}

published_item removed(std::string key, std::uint64_t revision)
{
    return {std::move(key), {}, rev(revision), true};
}

std::uint64_t version_of(const published_state& state)
{
    return state.config() ? state.config()->version().value() : 0;
}

TEST(published_state, older_items_never_replace_newer_ones)
{
    published_state state(&decode);
    (void)state.apply_changes({item("target/a", "new", 9)}, rev(9), at(seconds{1}), at(seconds{1}));
    (void)state.apply_changes({item("target/a", "old", 7)}, rev(9), at(seconds{1}), at(seconds{1}));
    EXPECT_EQ(state.targets().at(target_name{"a"}).address, "new");
}

TEST(published_state, the_configuration_version_never_decreases)
{
    published_state state(&decode);
    (void)state.apply_changes({item("config", "5", 10)}, rev(10), at(seconds{1}), at(seconds{1}));
    (void)state.apply_changes({item("config", "4", 11)}, rev(11), at(seconds{1}), at(seconds{1}));
    EXPECT_EQ(version_of(state), 5U);
}

TEST(published_state, a_snapshot_removes_items_that_it_lacks)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1), item("target/b", "y", 2)}, rev(2),
                               at(seconds{1}), at(seconds{1}));
    (void)state.apply_snapshot({item("target/b", "y", 2)}, rev(5), at(seconds{2}), at(seconds{2}));
    EXPECT_FALSE(state.targets().contains(target_name{"a"}));
    EXPECT_TRUE(state.targets().contains(target_name{"b"}));
}

TEST(published_state, a_snapshot_keeps_items_that_changed_after_it_was_read)
{
    published_state state(&decode);
    (void)state.apply_changes({item("target/new", "x", 8)}, rev(8), at(seconds{1}), at(seconds{1}));
    (void)state.apply_snapshot({}, rev(6), at(seconds{1}), at(seconds{1}));
    EXPECT_TRUE(state.targets().contains(target_name{"new"}));
}

TEST(published_state, an_unreadable_target_is_dropped_and_the_others_are_kept)
{
    published_state state(&decode);
    (void)state.apply_changes({item("target/a", "x", 1), item("target/b", "y", 2)}, rev(2),
                              at(seconds{1}), at(seconds{1}));
    (void)state.apply_changes({item("target/a", "unreadable", 3)}, rev(3), at(seconds{1}),
                              at(seconds{1}));
    EXPECT_FALSE(state.targets().contains(target_name{"a"}));
    EXPECT_TRUE(state.targets().contains(target_name{"b"}));
}

TEST(published_state, targets_that_expired_in_an_outage_get_time_to_publish_again)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1), item("target/b", "y", 2)}, rev(2),
                               at(seconds{1}), at(seconds{1}));
    // Contact comes back after six seconds, and both items are gone.
    (void)state.apply_snapshot({}, rev(9), at(seconds{7}), at(seconds{7}));
    EXPECT_EQ(state.targets().size(), 2U);
    (void)state.apply_changes({item("target/a", "x", 10)}, rev(10), at(seconds{8}), at(seconds{8}));
    (void)state.tick(at(milliseconds{9100}));
    EXPECT_EQ(state.targets().size(), 2U);
    (void)state.tick(at(milliseconds{9300}));
    EXPECT_TRUE(state.targets().contains(target_name{"a"}));
    EXPECT_FALSE(state.targets().contains(target_name{"b"}));
}

// Guards against a target that stays in use although its item was replaced by an unreadable one,
// because the replacement was taken for an expiry that an outage explains.
TEST(published_state, a_target_that_becomes_unreadable_after_an_outage_is_dropped_at_once)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1), item("target/b", "y", 2)}, rev(2),
                               at(seconds{1}), at(seconds{1}));
    (void)state.apply_snapshot({item("target/a", "unreadable", 9)}, rev(9), at(seconds{7}),
                               at(seconds{7}));
    EXPECT_FALSE(state.targets().contains(target_name{"a"}));
    EXPECT_TRUE(state.targets().contains(target_name{"b"}));
    // Its pending expiry must not drop it after it became readable again.
    (void)state.apply_changes({item("target/b", "unreadable", 10)}, rev(10), at(seconds{8}),
                              at(seconds{8}));
    EXPECT_FALSE(state.targets().contains(target_name{"b"}));
    (void)state.apply_changes({item("target/b", "y", 11)}, rev(11), at(milliseconds{8500}),
                              at(milliseconds{8500}));
    (void)state.tick(at(seconds{10}));
    EXPECT_TRUE(state.targets().contains(target_name{"b"}));
}

// Guards against copies for peers that grow beyond what a peer accepts, because they carry the
// values of items that no VM can use.
TEST(published_state, a_peer_gets_no_value_of_an_item_that_names_no_target)
{
    published_state state(&decode);
    (void)state.apply_changes({item("target/a", "unreadable", 3), item("target/b", "y", 4)}, rev(4),
                              at(seconds{1}), at(seconds{1}));
    const auto items = state.items_after({}, {});
    ASSERT_EQ(items.size(), 2U);
    for (const auto& copied : items) {
        EXPECT_EQ(copied.value, copied.key == "target/b" ? "y" : "");
        EXPECT_FALSE(copied.removed);
    }
}

TEST(published_state, without_an_outage_a_removed_target_is_dropped_at_once)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    (void)state.apply_changes({removed("target/a", 2)}, rev(2), at(seconds{2}), at(seconds{2}));
    EXPECT_TRUE(state.targets().empty());
}

TEST(published_state, evacuations_start_and_end)
{
    published_state state(&decode);
    (void)state.apply_changes({item("evac/dc", "{}", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    EXPECT_TRUE(state.is_evacuated(data_center_name{"dc"}));
    (void)state.apply_changes({removed("evac/dc", 2)}, rev(2), at(seconds{1}), at(seconds{1}));
    EXPECT_FALSE(state.is_evacuated(data_center_name{"dc"}));
}

TEST(published_state, the_confirmation_time_never_decreases)
{
    published_state state(&decode);
    state.confirm(at(seconds{5}), at(seconds{6}));
    state.confirm(at(seconds{4}), at(seconds{6}));
    EXPECT_EQ(state.confirmed_at(), at(seconds{5}));
}

TEST(published_state, a_peer_gets_the_items_that_changed_after_a_revision)
{
    published_state state(&decode);
    (void)state.apply_changes({item("target/a", "x", 3), item("target/b", "y", 4)}, rev(4),
                              at(seconds{1}), at(seconds{1}));
    (void)state.apply_changes({removed("target/a", 6)}, rev(6), at(seconds{1}), at(seconds{1}));
    const auto newer = state.items_after(rev(4), {});
    ASSERT_EQ(newer.size(), 1U);
    EXPECT_EQ(newer.front().key, "target/a");
    EXPECT_TRUE(newer.front().removed);
    EXPECT_EQ(state.items_revision(), rev(6));
}

/// Copies to one VM what another one announces, as a VM that doesn't read the store does.
void copy_newer_items(const published_state& from, published_state& to, base::time_point now)
{
    if (from.items_revision() > to.items_revision()) {
        (void)to.apply_changes(from.items_after(to.as_of(), {}), from.as_of(), now, now);
    }
}

// Guards against an evacuation that a VM never hears of. It is written while another VM reads the
// pages of a snapshot: behind its first page, and before a later page that holds a newer change.
TEST(published_state, a_peer_gets_a_change_that_the_pages_of_a_snapshot_missed)
{
    published_state reader(&decode);
    published_state peer(&decode);
    (void)peer.apply_snapshot({item("target/a", "x", 3)}, rev(10), at(seconds{1}), at(seconds{1}));
    // The first page was read at revision 10, the next one after revision 12.
    (void)reader.apply_snapshot({item("target/a", "x", 3), item("target/z", "z", 12)}, rev(10),
                                at(seconds{2}), at(seconds{2}));
    copy_newer_items(reader, peer, at(seconds{2}));
    // The reader's watch continues behind the first page.
    (void)reader.apply_changes({item("evac/dc", "{}", 11), item("target/z", "z", 12)}, rev(12),
                               at(seconds{3}), at(seconds{3}));
    copy_newer_items(reader, peer, at(seconds{3}));
    EXPECT_TRUE(peer.is_evacuated(data_center_name{"dc"}));
    EXPECT_TRUE(peer.targets().contains(target_name{"z"}));
    EXPECT_EQ(peer.items_revision(), rev(12));
}

// Guards against a gap that is passed on: a VM whose whole copy comes from one that has a gap.
TEST(published_state, a_whole_copy_with_a_gap_is_completed)
{
    published_state reader(&decode);
    published_state peer(&decode);
    (void)reader.apply_snapshot({item("target/z", "z", 12)}, rev(10), at(seconds{1}),
                                at(seconds{1}));
    (void)peer.apply_snapshot(reader.items_after({}, {}), reader.as_of(), at(seconds{1}),
                              at(seconds{1}));
    (void)reader.apply_changes({item("evac/dc", "{}", 11)}, rev(12), at(seconds{2}),
                               at(seconds{2}));
    copy_newer_items(reader, peer, at(seconds{2}));
    EXPECT_TRUE(peer.is_evacuated(data_center_name{"dc"}));
}

// Guards against a removed target that stays in use at a VM that doesn't read the store. It copies
// items only when there are newer ones, so a removal after a quiet time looks like the end of an
// outage.
TEST(published_state, a_removal_after_a_quiet_time_is_no_end_of_an_outage)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    const contact_report contact{{at(seconds{1}), at(milliseconds{10'500})}, false};
    (void)state.apply_changes({removed("target/a", 2)}, rev(2), at(milliseconds{10'500}),
                              at(seconds{11}), contact);
    EXPECT_TRUE(state.targets().empty());
}

// The same for a VM whose watches of the store are long, and which learns only afterwards that
// another VM had contact all the while.
TEST(published_state, a_deferred_removal_takes_effect_when_another_vm_had_contact)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    const auto deferred =
        state.apply_changes({removed("target/a", 2)}, rev(2), at(seconds{5}), at(seconds{5}));
    ASSERT_EQ(deferred.size(), 1U);
    EXPECT_EQ(deferred.front().event, "target_removal_deferred");
    (void)state.tick(at(milliseconds{5100}));
    EXPECT_EQ(state.targets().size(), 1U);
    state.note_contact({{at(seconds{1}), at(milliseconds{4800})}, true});
    const auto changes = state.tick(at(milliseconds{5200}));
    EXPECT_TRUE(state.targets().empty());
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().event, "target_gone");
}

// The same in a later era of the store, whose own time for publishing again is over.
TEST(published_state, a_deferred_removal_takes_effect_in_a_later_era_too)
{
    published_state state(&decode);
    const auto later = [](std::uint64_t number) { return store_revision{store_era{2}, number}; };
    (void)state.apply_snapshot({item("target/a", "x", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    (void)state.apply_snapshot({{"target/a", "x", later(1)}}, later(1), at(seconds{2}),
                               at(seconds{2}));
    (void)state.apply_changes({{"target/a", {}, later(2), true}}, later(2), at(seconds{30}),
                              at(seconds{30}));
    EXPECT_EQ(state.targets().size(), 1U);
    state.note_contact({{at(seconds{1}), at(milliseconds{29'800})}, true});
    (void)state.tick(at(milliseconds{30'100}));
    EXPECT_TRUE(state.targets().empty());
}

// Guards against the loss of all targets at the end of an outage, at VMs that hear of it from
// others.
TEST(published_state, a_copy_at_the_end_of_an_outage_defers_removals)
{
    published_state state(&decode);
    (void)state.apply_snapshot({item("target/a", "x", 1)}, rev(1), at(seconds{1}), at(seconds{1}));
    // The other VM's first answer after the outage came at 9 s; what it confirms is older.
    const contact_report contact{{at(seconds{9}), at(milliseconds{8900})}, true};
    (void)state.apply_changes({removed("target/a", 2)}, rev(2), contact.span.until,
                              at(milliseconds{9500}), contact);
    EXPECT_EQ(state.targets().size(), 1U);
    (void)state.tick(contact.span.since + published_state::republish_time);
    EXPECT_TRUE(state.targets().empty());
}

} // namespace
} // namespace chicorylink::fleet
