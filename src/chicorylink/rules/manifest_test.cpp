#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/rules/split.hpp"

#include <functional>
#include <iterator>
#include <numeric>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::rules {
namespace {

template <class Function>
bool succeeds(Function function)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(function());
            return true;
        },
        [](const base::error&) { return false; }, [] { return false; });
}

bool is_manifest(const std::string& text)
{
    return succeeds([&] { return parse_manifest(text); });
}

std::string team_lines(int count, int changed_team = -1, int usual_rate = 2000)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        fmt::format_to(std::back_inserter(text),
                       "team t{} regions=north rate={}/s burst=40000 # lena: contract\n", i,
                       i == changed_team ? 3500 : usual_rate);
    }
    return text;
}

TEST(manifest, round_trips_through_text)
{
    const std::vector<std::string> parts{"region a # x\n", "region b # x\n"};
    const auto created = make_manifest(base::config_version{12}, "9f86", parts);
    EXPECT_EQ(parse_manifest(print_manifest(created)).value(), created);
    EXPECT_EQ(join_parts(created, parts).value(), "region a # x\nregion b # x\n");
}

TEST(manifest, rejects_malformed_text)
{
    const std::string head = "version 1\nsalt x\n";
    const std::string digest(64, 'a');
    EXPECT_TRUE(is_manifest(head + "part " + digest + " 5\n"));
    EXPECT_FALSE(is_manifest(""));
    EXPECT_FALSE(is_manifest(head));
    EXPECT_FALSE(is_manifest("version 0\nsalt x\npart " + digest + " 5\n"));
    EXPECT_FALSE(is_manifest("version 99999999999999999999\nsalt x\npart " + digest + " 5\n"));
    EXPECT_FALSE(is_manifest("salt x\nversion 1\npart " + digest + " 5\n"));
    EXPECT_FALSE(is_manifest(head + "part " + digest + " 5"));
    EXPECT_FALSE(is_manifest(head + "part " + digest + " 0\n"));
    EXPECT_FALSE(is_manifest(head + "part " + digest + " 1000001\n"));
    EXPECT_FALSE(is_manifest(head + "part " + std::string(63, 'a') + "g 5\n"));
    EXPECT_FALSE(is_manifest(head + "\npart " + digest + " 5\n"));
    std::string many = head;
    for (int i = 0; i < 65; ++i) {
        many += "part " + digest + " 1000000\n";
    }
    EXPECT_FALSE(is_manifest(many));
}

TEST(manifest, parts_are_verified_before_they_are_joined)
{
    const std::string contents = "region a # x\n";
    const auto reference = make_part_reference(contents);
    EXPECT_TRUE(succeeds([&] { return verify_part(reference, contents); }));
    EXPECT_FALSE(succeeds([&] { return verify_part(reference, "region b # x\n"); }));
    EXPECT_FALSE(succeeds([&] { return verify_part(reference, contents + "\n"); }));
    const part_reference other_size{reference.digest, base::bytes{reference.size.value() + 1}};
    EXPECT_FALSE(succeeds([&] { return verify_part(other_size, contents); }));
    const std::string open_end = "region a # x";
    EXPECT_FALSE(succeeds([&] { return verify_part(make_part_reference(open_end), open_end); }));
    const std::vector<std::string> parts{contents, contents};
    const auto created = make_manifest(base::config_version{1}, "x", parts);
    const std::vector<std::string> swapped{contents, "region c # x\n"};
    EXPECT_FALSE(succeeds([&] { return join_parts(created, {parts.data(), 1}); }));
    EXPECT_FALSE(succeeds([&] { return join_parts(created, swapped); }));
}

TEST(split, preserves_text_and_respects_part_sizes)
{
    const auto text = team_lines(5000);
    const split_sizes sizes;
    const auto parts = split_rules(text, sizes);
    std::string joined;
    for (const auto& part : parts) {
        joined += part;
    }
    EXPECT_EQ(joined, text);
    EXPECT_GT(parts.size(), 5U);
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        EXPECT_GE(parts[i].size(), static_cast<std::size_t>(sizes.smallest.value()));
        EXPECT_LE(parts[i].size(), static_cast<std::size_t>(sizes.largest.value()) + 4096);
    }
    EXPECT_EQ(split_rules("region a # x"), std::vector<std::string>{"region a # x\n"});
    EXPECT_TRUE(split_rules("").empty());
}

TEST(split, part_boundaries_do_not_depend_on_options)
{
    const auto before = split_rules(team_lines(5000));
    const auto after = split_rules(team_lines(5000, -1, 3000));
    ASSERT_EQ(before.size(), after.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        EXPECT_EQ(before[i].size(), after[i].size());
    }
}

TEST(split, a_changed_option_changes_one_part)
{
    const auto before = split_rules(team_lines(5000));
    const auto after = split_rules(team_lines(5000, 2500));
    ASSERT_EQ(before.size(), after.size());
    const auto changed = std::inner_product(before.begin(), before.end(), after.begin(), 0,
                                            std::plus<>{}, std::not_equal_to<>{});
    EXPECT_EQ(changed, 1);
}

} // namespace
} // namespace chicorylink::rules
