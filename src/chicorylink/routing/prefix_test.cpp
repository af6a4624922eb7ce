#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/routing/prefix_hints.hpp"
#include "testing.hpp"

#include <array>
#include <string>

#include <gtest/gtest.h>

namespace chicorylink::routing {
namespace {

using testing_support::at;

constexpr std::uint64_t salt = 77;
const auto team_a = base::id_of<base::team_id>("a");
const auto team_b = base::id_of<base::team_id>("b");

prompt_prefix prefix_of(base::team_id team, const std::string& system, const std::string& user,
                        const std::string& rest = {})
{
    const std::array<std::string_view, 3> messages{system, user, rest};
    return make_prefix(salt, team, messages, 2);
}

TEST(prefix, the_same_prompt_has_different_hashes_for_two_teams)
{
    const std::string text(3 * prefix_block_bytes, 'x');
    const auto first = prefix_of(team_a, "be brief", text);
    const auto second = prefix_of(team_b, "be brief", text);
    EXPECT_NE(first.session, second.session);
    for (const auto block : first.blocks) {
        EXPECT_EQ(std::count(second.blocks.begin(), second.blocks.end(), block), 0);
    }
}

TEST(prefix, later_turns_keep_the_session_and_the_first_blocks)
{
    const std::string text(3 * prefix_block_bytes, 'x');
    const auto first = prefix_of(team_a, "be brief", text);
    const auto later = prefix_of(team_a, "be brief", text, std::string(5000, 'y'));
    EXPECT_EQ(first.session, later.session);
    ASSERT_GT(later.blocks.size(), first.blocks.size());
    EXPECT_TRUE(std::equal(first.blocks.begin(), first.blocks.end(), later.blocks.begin()));
    EXPECT_NE(first.session, prefix_of(team_a, "be brief", "other").session);
}

TEST(prefix, the_number_of_blocks_is_bounded)
{
    const std::string text(100 * prefix_block_bytes, 'x');
    EXPECT_EQ(prefix_of(team_a, "", text).blocks.size(), max_prefix_blocks);
}

TEST(prefix_hints, finds_the_longest_prefix_first_and_ignores_expired_hints)
{
    prefix_hints hints(1024);
    const auto blocks = prefix_of(team_a, "", std::string(4 * prefix_block_bytes, 'x')).blocks;
    const base::target_id one{1};
    const base::target_id two{2};
    hints.remember(std::span(blocks).first(2), one, at(0));
    hints.remember(blocks, two, at(0));
    std::array<prefix_holder, 4> found;
    ASSERT_EQ(hints.find(blocks, at(1), found), 2U);
    EXPECT_EQ(found[0].target, two);
    EXPECT_EQ(found[0].blocks, 4U);
    EXPECT_EQ(found[1].target, one);
    EXPECT_EQ(found[1].blocks, 2U);
    hints.remove(two);
    EXPECT_EQ(hints.find(blocks, at(1), found), 1U);
    EXPECT_EQ(hints.find(blocks, at(3'600'000), found), 0U);
}

TEST(prefix_hints, memory_does_not_grow)
{
    prefix_hints hints(64);
    const auto before = hints.memory_bytes();
    for (std::uint64_t index = 1; index < 10'000; ++index) {
        const std::array<prefix_hash, 1> block{prefix_hash{index * 0x9e3779b97f4a7c15U}};
        hints.remember(block, base::target_id{1}, at(static_cast<std::int64_t>(index)));
    }
    EXPECT_EQ(hints.memory_bytes(), before);
}

} // namespace
} // namespace chicorylink::routing
