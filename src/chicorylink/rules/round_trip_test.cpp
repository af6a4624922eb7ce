#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/explain.hpp"
#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/print.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::rules {
namespace {

constexpr int region_count = 4;

/// Checks a property with a fixed seed, which each failure prints.
template <class Property>
void check_with_seed(const std::string& description, Property property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = description;
    metadata.description = description;
    rc::detail::TestParams parameters;
    parameters.seed = 20'250'101;
    parameters.maxSuccess = 200;
    const auto result = rc::detail::checkTestable(property, metadata, parameters);
    if (!result.template is<rc::detail::SuccessResult>()) {
        std::ostringstream report;
        rc::detail::printResultMessage(result, report);
        FAIL() << "seed " << parameters.seed << "\n" << report.str();
    }
}

int random_int(int lowest, int end_exclusive)
{
    return *rc::gen::inRange(lowest, end_exclusive);
}

std::string region_list()
{
    const int first = random_int(0, region_count);
    const int count = random_int(1, region_count + 1);
    std::string list;
    for (int i = 0; i < count; ++i) {
        list += fmt::format("{}r{}", i == 0 ? "" : ",", (first + i) % region_count);
    }
    return list;
}

std::string random_team(int index)
{
    const auto regions = region_list();
    const auto home = random_int(0, 2) == 0 ? fmt::format(" home={}", regions.substr(0, 2)) : "";
    return fmt::format("team t{} regions={}{} rate={}/s burst={} weight={} # asker {}: why\n",
                       index, regions, home, random_int(1, 5000), random_int(1, 99999),
                       random_int(1, 9), random_int(0, 5));
}

/// Generates the lines of a random rules text, one rule per line.
std::vector<std::string> random_lines()
{
    std::vector<std::string> lines{"region r0 # a\n", "region r1 # a\n", "region r2 # a\n",
                                   "region r3 # a\n"};
    lines.push_back(fmt::format("link r0 r1 delay={}ms rate={}kbit price={}s # b\n",
                                random_int(0, 5000), random_int(1, 9999), random_int(0, 9)));
    lines.push_back(fmt::format("route chat kind=model priority={} deadline={}ms open={} # c\n",
                                random_int(0, 2) == 0 ? "low" : "high", random_int(1, 99999),
                                random_int(0, 2) == 0 ? "yes" : "no"));
    lines.push_back("route book kind=service idempotent=no # c\n");
    lines.push_back(fmt::format("target e1 region=r{} address=10.0.0.{}:80 routes=book,chat "
                                "slots={} checks_fencing=yes # d\n",
                                random_int(0, region_count), random_int(1, 255),
                                random_int(1, 99)));
    lines.push_back(fmt::format("policy tail_weight={} # e\n", random_int(0, 300)));
    const int teams = random_int(0, 12);
    for (int i = 0; i < teams; ++i) {
        lines.push_back(random_team(i));
        lines.push_back(
            fmt::format("key t{} sha256:{:064x} # f\n", i, 1000 * i + random_int(0, 1000)));
    }
    return lines;
}

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines) {
        text += line;
    }
    return text;
}

std::shared_ptr<const rulebook> read(const std::string& text)
{
    auto outcome = parse_rules(text, {});
    RC_ASSERT(outcome.errors.empty());
    return outcome.book;
}

TEST(round_trip, printed_rules_parse_to_the_same_rules)
{
    check_with_seed("print and parse", [] {
        const auto book = read(join(random_lines()));
        const auto printed = print_rules(*book);
        const auto again = read(printed);
        RC_ASSERT(diff_rules(*book, *again).empty());
        RC_ASSERT(print_rules(*again) == printed);
    });
}

TEST(round_trip, line_order_and_parts_do_not_matter)
{
    check_with_seed("order", [] {
        auto lines = random_lines();
        const auto text = join(lines);
        std::reverse(lines.begin(), lines.end());
        RC_ASSERT(diff_rules(*read(text), *read(join(lines))).empty());
        const auto parts = split_rules(text, {base::bytes{1}, base::bytes{100}, base::bytes{500}});
        const auto manifest = make_manifest(base::config_version{1}, "s", parts);
        RC_ASSERT(join_parts(manifest, parts).value() == text);
        const auto from_parts = parse_parts(parts, {});
        RC_ASSERT(from_parts.errors.empty());
        RC_ASSERT(print_rules(*from_parts.book) == print_rules(*read(text)));
        const std::vector<std::string_view> views(parts.begin(), parts.end());
        RC_ASSERT(print_rules(*parse_parts(views, {}).book) == print_rules(*from_parts.book));
    });
}

TEST(round_trip, every_option_is_printed)
{
    const std::string text =
        "region north # a\nregion south # a\n"
        "link north south delay=55ms rate=140Mbit price=3s # b: why\n"
        "route chat kind=service idempotent=no open=yes deadline=1500ms priority=low # c\n"
        "target e region=south address=[fd00::1]:80 routes=chat slots=9 checks_fencing=yes # d\n"
        "policy tail_weight=1 # e\npolicy worst_team_weight=2 # e\npolicy refusal_weight=3 # e\n"
        "policy sent_away_weight=4 # e\npolicy stay_home=5s # f\n"
        "team t regions=north,south home=south rate=7/s burst=8 weight=9 # g\n"
        "key t sha256:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff # h\n";
    EXPECT_EQ(print_rules(*read(text)), text);
}

/// Applies the added and removed teams of a diff to the team names of a rulebook.
std::vector<std::string> apply_to_teams(const rulebook& book, const std::vector<change>& changes)
{
    std::vector<std::string> names;
    for (const auto& team : book.teams()) {
        names.push_back(team.name);
    }
    for (const auto& each : changes) {
        if (each.kind == rule_kind::team && each.what == change_kind::added) {
            names.push_back(each.name);
        }
        if (each.kind == rule_kind::team && each.what == change_kind::removed) {
            names.erase(std::remove(names.begin(), names.end(), each.name), names.end());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

TEST(round_trip, diff_lists_added_and_removed_teams)
{
    check_with_seed("diff", [] {
        const auto older = read(join(random_lines()));
        const auto newer = read(join(random_lines()));
        const auto forward_changes = diff_rules(*older, *newer);
        RC_ASSERT(apply_to_teams(*older, forward_changes) == apply_to_teams(*newer, {}));
        RC_ASSERT(diff_rules(*newer, *older).size() == forward_changes.size());
    });
}

std::vector<std::string> diff_lines(const std::string& older, const std::string& newer)
{
    std::vector<std::string> lines;
    for (const auto& each : diff_rules(*read(older), *read(newer))) {
        lines.push_back(to_string(each));
    }
    return lines;
}

TEST(diff, reports_field_values_line_and_requester)
{
    const std::string head = "region north # a\nregion south # a\n";
    EXPECT_EQ(diff_lines(head + "team t regions=north rate=1/s burst=5 # lena: x\n",
                         head + "\nteam t regions=north,south home=south rate=2/s burst=5 "
                                "# omar: y\n"),
              (std::vector<std::string>{
                  "changed team t regions: 'north' -> 'north,south' (line 4, asked by omar: y)",
                  "changed team t home: '' -> 'south' (line 4, asked by omar: y)",
                  "changed team t rate: '1/s' -> '2/s' (line 4, asked by omar: y)",
                  "changed team t asked_by: 'lena: x' -> 'omar: y' (line 4, asked by omar: y)"}));
    const std::string bound = head + "team t regions=north,south home=north rate=1/s burst=5 # a\n";
    const std::string moved = head + "team t regions=north,south home=south rate=1/s burst=5 # a\n";
    EXPECT_EQ(
        diff_lines(bound, moved),
        std::vector<std::string>{"changed team t home: 'north' -> 'south' (line 3, asked by a)"});
    EXPECT_EQ(diff_lines(head, "region north # a\n"),
              std::vector<std::string>{"removed region south  (was line 2, asked by a)"});
    EXPECT_EQ(diff_lines("policy tail_weight=300 # a\n", ""),
              std::vector<std::string>{
                  "changed policy  tail_weight: '300' -> '100' (line 1, asked by a)"});
}

TEST(explain, gives_the_deciding_rule_for_each_region)
{
    const auto book = read("region a # x\nregion b # x\nregion c # x\n"
                           "team t regions=a,b rate=1/s burst=1 # lena: contract\n"
                           "team h regions=a,b home=b rate=1/s burst=1 # omar: law\n"
                           "route chat kind=model # lena: new\n"
                           "target e region=a address=10.0.0.1:80 routes=chat # x\n");
    const auto without_home = explain_route(*book, "t", "chat").value();
    ASSERT_EQ(without_home.size(), 3U);
    EXPECT_EQ(without_home[0].verdict, region_verdict::runs);
    EXPECT_EQ(without_home[0].targets, std::vector<std::string>{"e"});
    EXPECT_EQ(without_home[1].verdict, region_verdict::no_target);
    EXPECT_EQ(without_home[1].source.line, 6U);
    EXPECT_EQ(without_home[2].verdict, region_verdict::not_allowed);
    EXPECT_EQ(without_home[2].source.asked_by, "lena: contract");
    const auto bound = explain_route(*book, "h", "chat").value();
    EXPECT_EQ(bound[0].verdict, region_verdict::home_elsewhere);
    EXPECT_NE(bound[0].reason.find("line 5, asked by omar: law"), std::string::npos);
}

} // namespace
} // namespace chicorylink::rules
