// The store returns from an older copy of its data: it begins a new era, gives out revisions again
// and holds facts that are older than those of the lost part.

#include "chicorylink/fleet/published_state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds before{1000};
constexpr milliseconds restored{3000};
const base::time_point restored_at{restored};

store_revision rev(std::uint64_t era, std::uint64_t number)
{
    return {store_era{era}, number};
}

/// Decodes test items: `config` holds a version, `evac/NAME` an evacuation, `target/NAME` its start
/// and its state.
decoded_item decode(const published_item& item)
{
    if (item.key == "config") {
        if (item.removed || item.value.empty()) {
            return ignored_item{"no configuration"};
        }
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
    entry.started_ms = std::stoll(item.value);
    entry.address = fmt::format("10.0.0.1:{}", entry.started_ms);
    entry.leaving = item.value.ends_with("leaving");
    entry.cold_left = milliseconds{item.value.ends_with("cold") ? 4000 : 0};
    return target_item{entry};
}

published_item item(std::string key, std::string value, store_revision revision)
{
    return {std::move(key), std::move(value), revision, false};
}

published_item removed(std::string key, store_revision revision)
{
    return {std::move(key), {}, revision, true};
}

std::uint64_t version_of(const published_state& state)
{
    return state.config() ? state.config()->version().value() : 0;
}

/// A process that knows revision 20 of era 1.
class store_era_changes : public testing::Test {
protected:
    void know(const std::vector<published_item>& items)
    {
        (void)m_state.apply_snapshot(items, rev(1, 20), base::time_point{before},
                                     base::time_point{before});
    }
    /// The store returns with revision 12 of its copy, in era 2.
    void restore(const std::vector<published_item>& items)
    {
        (void)m_state.apply_snapshot(items, rev(2, 12), restored_at, restored_at);
    }
    void change(const published_item& item, milliseconds at)
    {
        (void)m_state.apply_changes({item}, item.revision, base::time_point{at},
                                    base::time_point{at});
    }
    void tick(milliseconds at) { (void)m_state.tick(base::time_point{at}); }
    [[nodiscard]] const target_entry* target() const
    {
        const auto found = m_state.targets().find(target_name{"a"});
        return found == m_state.targets().end() ? nullptr : &found->second;
    }

    published_state m_state{&decode};
};

// Guards against changes that are taken for old ones, because the store gives out their revisions
// for the second time.
TEST_F(store_era_changes, a_new_version_with_a_lower_revision_is_taken_at_once)
{
    know({item("config", "5", rev(1, 20))});
    restore({item("config", "4", rev(2, 12))});
    change(item("config", "6", rev(2, 13)), restored + milliseconds{100});
    EXPECT_EQ(version_of(m_state), 6U);
}

TEST_F(store_era_changes, the_same_revision_with_other_contents_is_taken)
{
    know({item("target/a", "100", rev(1, 12)), item("config", "5", rev(1, 11))});
    restore({item("target/a", "200", rev(2, 12)), item("config", "5", rev(2, 11))});
    ASSERT_NE(target(), nullptr);
    EXPECT_EQ(target()->started_ms, 200);
}

TEST_F(store_era_changes, the_configuration_in_force_outlives_the_restored_one)
{
    know({item("config", "5", rev(1, 20))});
    restore({item("config", "4", rev(2, 12))});
    tick(restored + milliseconds{10'000});
    EXPECT_EQ(version_of(m_state), 5U);
}

TEST_F(store_era_changes, the_configuration_in_force_outlives_a_copy_without_one)
{
    know({item("config", "5", rev(1, 20))});
    restore({});
    tick(restored + milliseconds{10'000});
    EXPECT_EQ(version_of(m_state), 5U);
    EXPECT_EQ(m_state.items_after(rev(2, 12), base::config_version{}).front().value, "5");
}

// Guards against a process that starts after the restoration and serves by the older version that
// the store holds, although others know the newer one.
TEST_F(store_era_changes, a_newcomer_gets_the_version_in_force_from_a_peer)
{
    know({item("config", "5", rev(1, 20)), item("target/a", "100", rev(1, 9))});
    restore({item("config", "4", rev(2, 12)), item("target/a", "100", rev(2, 9))});
    published_state newcomer(&decode);
    (void)newcomer.apply_snapshot({item("config", "4", rev(2, 12))}, rev(2, 12), restored_at,
                                  restored_at);
    const auto copy = m_state.items_after(newcomer.items_revision(), newcomer.config()->version());
    ASSERT_EQ(copy.size(), 1U);
    (void)newcomer.apply_changes(copy, m_state.as_of(), restored_at, restored_at);
    EXPECT_EQ(version_of(newcomer), 5U);
}

// As above, with a peer that has not reached the store since.
TEST_F(store_era_changes, a_peer_of_the_older_era_adds_only_its_newer_configuration)
{
    know({item("config", "5", rev(1, 20)), item("target/a", "100", rev(1, 9))});
    published_state newcomer(&decode);
    (void)newcomer.apply_snapshot({item("config", "4", rev(2, 12))}, rev(2, 12), restored_at,
                                  restored_at);
    const auto confirmed = newcomer.confirmed_at();
    (void)newcomer.apply_changes(m_state.items_after({}, {}), m_state.as_of(),
                                 restored_at + milliseconds{50}, restored_at + milliseconds{60});
    EXPECT_EQ(version_of(newcomer), 5U);
    EXPECT_TRUE(newcomer.targets().empty());
    EXPECT_EQ(newcomer.as_of(), rev(2, 12));
    EXPECT_EQ(newcomer.confirmed_at(), confirmed);
}

TEST_F(store_era_changes, a_late_answer_of_the_older_era_changes_nothing)
{
    know({item("target/a", "100", rev(1, 9))});
    restore({item("target/a", "200", rev(2, 12))});
    change(item("target/a", "100 leaving", rev(1, 30)), restored + milliseconds{100});
    ASSERT_NE(target(), nullptr);
    EXPECT_EQ(target()->started_ms, 200);
    EXPECT_EQ(m_state.as_of(), rev(2, 12));
}

// Guards against requests to a target whose leaving was lost with the latest changes.
TEST_F(store_era_changes, a_leaving_target_stays_unused)
{
    know({item("target/a", "100 leaving", rev(1, 20))});
    restore({item("target/a", "100", rev(2, 9))});
    tick(restored + milliseconds{10'000});
    ASSERT_NE(target(), nullptr);
    EXPECT_TRUE(target()->leaving);
}

TEST_F(store_era_changes, a_target_that_the_lost_part_called_leaving_leaves_when_it_says_so_again)
{
    know({item("target/a", "100", rev(1, 9))});
    restore({item("target/a", "100", rev(2, 9))});
    change(item("target/a", "100 leaving", rev(2, 13)), restored + milliseconds{100});
    EXPECT_TRUE(target()->leaving);
}

TEST_F(store_era_changes, a_target_that_is_gone_is_held_until_it_writes_or_outlives_its_expiry)
{
    know({item("target/a", "100", rev(1, 9))});
    change(removed("target/a", rev(1, 21)), before + milliseconds{100});
    ASSERT_EQ(target(), nullptr);
    restore({item("target/a", "100", rev(2, 9))});
    EXPECT_EQ(target(), nullptr);
    tick(restored + published_state::expiry_time - milliseconds{1});
    EXPECT_EQ(target(), nullptr);
    tick(restored + published_state::expiry_time);
    EXPECT_NE(target(), nullptr);
}

TEST_F(store_era_changes, a_target_that_is_gone_and_writes_again_is_used_at_once)
{
    know({item("target/a", "100", rev(1, 9))});
    change(removed("target/a", rev(1, 21)), before + milliseconds{100});
    restore({item("target/a", "100", rev(2, 9))});
    change(item("target/a", "200", rev(2, 13)), restored + milliseconds{100});
    ASSERT_NE(target(), nullptr);
    EXPECT_EQ(target()->started_ms, 200);
    tick(restored + milliseconds{10'000});
    EXPECT_EQ(target()->started_ms, 200);
}

TEST_F(store_era_changes, an_earlier_run_does_not_replace_a_later_one)
{
    know({item("target/a", "200", rev(1, 20))});
    restore({item("target/a", "100", rev(2, 9))});
    EXPECT_EQ(target()->started_ms, 200);
    // Within the era, the revision decides again: the calendar time of a VM may be set back.
    change(item("target/a", "150", rev(2, 13)), restored + milliseconds{100});
    EXPECT_EQ(target()->started_ms, 150);
}

TEST_F(store_era_changes, a_cold_target_stays_cold)
{
    know({item("target/a", "100 cold", rev(1, 20))});
    restore({item("target/a", "100", rev(2, 9))});
    EXPECT_GT(target()->cold_left.count(), 0);
}

// The store was away for less than an outage takes that gives targets time by itself.
TEST_F(store_era_changes, a_target_of_the_lost_part_gets_time_to_publish_again)
{
    know({item("target/a", "100", rev(1, 20))});
    (void)m_state.apply_changes({}, rev(1, 20), restored_at - milliseconds{200},
                                restored_at - milliseconds{200});
    restore({});
    EXPECT_NE(target(), nullptr);
    tick(restored + published_state::republish_time - milliseconds{1});
    EXPECT_NE(target(), nullptr);
    tick(restored + published_state::republish_time);
    EXPECT_EQ(target(), nullptr);
}

TEST_F(store_era_changes, an_evacuation_of_the_lost_part_stays_until_it_is_written_again_or_late)
{
    know({item("evac/dc", "{}", rev(1, 20))});
    restore({});
    EXPECT_TRUE(m_state.is_evacuated(data_center_name{"dc"}));
    tick(restored + published_state::republish_time);
    EXPECT_FALSE(m_state.is_evacuated(data_center_name{"dc"}));
    change(item("evac/dc", "{}", rev(2, 14)), restored + milliseconds{4000});
    EXPECT_TRUE(m_state.is_evacuated(data_center_name{"dc"}));
}

TEST_F(store_era_changes, an_evacuation_that_had_ended_does_not_begin_again)
{
    know({item("evac/dc", "{}", rev(1, 9))});
    change(removed("evac/dc", rev(1, 21)), before + milliseconds{100});
    restore({item("evac/dc", "{}", rev(2, 9))});
    EXPECT_FALSE(m_state.is_evacuated(data_center_name{"dc"}));
    change(removed("evac/dc", rev(2, 13)), restored + milliseconds{500});
    tick(restored + milliseconds{10'000});
    EXPECT_FALSE(m_state.is_evacuated(data_center_name{"dc"}));
}

TEST_F(store_era_changes, an_item_that_becomes_unreadable_again_drops_no_target_at_once)
{
    know({item("target/a", "100", rev(1, 20))});
    restore({item("target/a", "unreadable", rev(2, 9))});
    EXPECT_NE(target(), nullptr);
    tick(restored + published_state::republish_time);
    EXPECT_EQ(target(), nullptr);
}

// Guards against a withdrawn key that works for too long: the lost part may have withdrawn it
// without this process having seen it.
TEST_F(store_era_changes, a_new_era_confirms_nothing_before_lost_items_are_written_again)
{
    know({item("config", "5", rev(1, 11))});
    restore({item("config", "5", rev(2, 11))});
    EXPECT_EQ(m_state.confirmed_at(), base::time_point{before});
    (void)m_state.apply_changes({}, rev(2, 12), restored_at + milliseconds{2100},
                                restored_at + milliseconds{2150});
    EXPECT_EQ(m_state.confirmed_at(), base::time_point{before});
    m_state.confirm(restored_at + milliseconds{2100}, restored_at + milliseconds{2150});
    EXPECT_EQ(m_state.confirmed_at(), base::time_point{before});
    const auto settled = restored_at + published_state::republish_time;
    (void)m_state.apply_changes({}, rev(2, 12), settled, settled);
    EXPECT_EQ(m_state.confirmed_at(), settled);
}

TEST_F(store_era_changes, a_configuration_written_again_confirms_at_once)
{
    know({item("config", "5", rev(1, 20))});
    restore({item("config", "4", rev(2, 12))});
    change(item("config", "5", rev(2, 13)), restored + milliseconds{300});
    EXPECT_EQ(m_state.confirmed_at(), restored_at + milliseconds{300});
}

TEST_F(store_era_changes, a_configuration_written_again_before_the_first_contact_confirms_at_once)
{
    know({item("config", "5", rev(1, 20))});
    restore({item("config", "5", rev(2, 12))});
    EXPECT_EQ(m_state.confirmed_at(), restored_at);
}

// Guards against a version that seems to be written again, because its number is that of an era
// which this process has not seen.
TEST_F(store_era_changes, a_missed_era_confirms_nothing)
{
    know({item("config", "5", rev(1, 20))});
    (void)m_state.apply_snapshot({item("config", "5", rev(3, 12))}, rev(3, 12), restored_at,
                                 restored_at);
    EXPECT_EQ(m_state.confirmed_at(), base::time_point{before});
}

TEST_F(store_era_changes, several_restorations_in_a_row)
{
    know({item("config", "5", rev(1, 20))});
    restore({item("config", "4", rev(2, 12))});
    (void)m_state.apply_snapshot({item("config", "3", rev(3, 8))}, rev(3, 8),
                                 restored_at + milliseconds{500}, restored_at + milliseconds{500});
    change(item("config", "7", rev(3, 9)), restored + milliseconds{600});
    EXPECT_EQ(version_of(m_state), 7U);
    EXPECT_EQ(m_state.as_of(), rev(3, 9));
}

} // namespace
} // namespace chicorylink::fleet
