#include "chicorylink/fleet/version_history.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using targets = std::map<target_name, target_entry>;

const service_name app{"app"};
const software_version old_version{"v1"};
const software_version new_version{"v2"};

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

void add(targets& to, const std::string& name, const software_version& version,
         std::int64_t started_ms = 1)
{
    target_entry entry;
    entry.name = target_name{name};
    entry.service = app;
    entry.version = version;
    entry.started_ms = started_ms;
    to.insert_or_assign(entry.name, entry);
}

/// Notes the same targets once a second.
void note_until(version_history& history, const targets& published, std::uint64_t generation,
                seconds first, seconds last)
{
    for (auto now = first; now <= last; now += seconds{1}) {
        history.note(published, generation, at(now), at(now));
    }
}

TEST(version_history, a_single_version_is_known_for_the_time_that_was_followed)
{
    targets published;
    add(published, "i-1", old_version);
    version_history history;
    EXPECT_EQ(history.only_version(app, at(seconds{5})), std::nullopt);
    note_until(history, published, 1, seconds{10}, seconds{50});
    EXPECT_EQ(history.only_version(app, at(seconds{20})), hash_of(app, old_version));
    EXPECT_EQ(history.only_version(app, at(seconds{9})), std::nullopt);
    EXPECT_EQ(history.text_of(app, hash_of(app, old_version)), "v1");
}

// Guards against the version of a stream being taken for the one that has replaced it since.
TEST(version_history, a_version_that_left_counts_for_the_time_of_its_streams)
{
    targets published;
    add(published, "i-1", old_version);
    version_history history;
    note_until(history, published, 1, seconds{10}, seconds{20});
    add(published, "i-2", new_version);
    note_until(history, published, 2, seconds{21}, seconds{25});
    published.erase(target_name{"i-1"});
    note_until(history, published, 3, seconds{26}, seconds{70});
    EXPECT_EQ(history.only_version(app, at(seconds{20})), std::nullopt);
    EXPECT_EQ(history.only_version(app, at(seconds{26})), std::nullopt);
    EXPECT_EQ(history.only_version(app, at(seconds{27})), hash_of(app, new_version));
}

// Guards against a proof by a VM that was cut off or stood still while a version came and left.
TEST(version_history, a_gap_begins_the_history_anew)
{
    targets published;
    add(published, "i-1", old_version);
    version_history history;
    note_until(history, published, 1, seconds{10}, seconds{50});
    note_until(history, published, 1, seconds{54}, seconds{60});
    EXPECT_EQ(history.only_version(app, at(seconds{30})), std::nullopt);
    EXPECT_EQ(history.only_version(app, at(seconds{54})), hash_of(app, old_version));
}

TEST(version_history, targets_without_a_version_have_one_of_their_own)
{
    targets published;
    add(published, "i-1", old_version);
    add(published, "i-2", software_version{});
    version_history history;
    note_until(history, published, 1, seconds{10}, seconds{50});
    EXPECT_EQ(history.only_version(app, at(seconds{40})), std::nullopt);
}

TEST(version_history, only_targets_older_than_a_release_prove_a_version)
{
    constexpr std::int64_t now_ms = 1'000'000;
    targets published;
    add(published, "i-1", old_version, 1);
    add(published, "i-2", old_version, now_ms - 150'000);
    EXPECT_EQ(long_serving_version(published, app, seconds{30}, now_ms), hash_of(app, old_version));
    add(published, "i-2", old_version, now_ms - 149'999);
    EXPECT_EQ(long_serving_version(published, app, seconds{30}, now_ms), std::nullopt);
    add(published, "i-2", new_version, 1);
    EXPECT_EQ(long_serving_version(published, app, seconds{30}, now_ms), std::nullopt);
    EXPECT_EQ(long_serving_version({}, app, seconds{30}, now_ms), std::nullopt);
}

// Guards against a proof by targets that don't state when they started.
TEST(version_history, a_target_of_unknown_start_proves_nothing)
{
    targets published;
    add(published, "i-1", old_version, 0);
    EXPECT_EQ(long_serving_version(published, app, seconds{30}, 1'000'000), std::nullopt);
}

} // namespace
} // namespace chicorylink::fleet
