#include "chicorylink/rules/loop_check.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::rules {
namespace {

using base::id_of;

constexpr std::string_view digest_text =
    "sha256:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

std::string sample_rules()
{
    return std::string("# rules of the test\n"
                       "region north # lena: first\n"
                       "region south # lena: first\n"
                       "\n"
                       "link north south delay=55ms rate=140Mbit price=3ms # omar: contract\n"
                       "team shop regions=north,south home=north rate=2000/s burst=40000 weight=2 "
                       "# lena: new\n"
                       "key shop ") +
           std::string(digest_text) +
           " # lena: new\n"
           "route chat kind=model deadline=20s priority=high # lena: new\n"
           "route bookings kind=service idempotent=no # lena: new\n"
           "target engine-1 region=north address=10.0.0.1:8000 routes=chat slots=8 "
           "checks_fencing=yes # omar: rack 4\n"
           "policy tail_weight=200 stay_home=250ms # omar: quarter\n";
}

/// Parses a text after the lines of two regions (1, 2), a team (3) and a route (4).
std::vector<rule_error> errors_after_prelude(const std::string& text)
{
    const std::string prelude = "region north # a\nregion south # a\n"
                                "team shop regions=north rate=1/s burst=1 # a\n"
                                "route chat kind=model # a\n";
    return parse_rules(
               prelude + text,
               {.file = "f", .version = {}, .key_salt = {}, .vm_addresses = {"10.0.0.9:81"}})
        .errors;
}

TEST(parse, reads_every_kind_of_rule)
{
    const auto outcome =
        parse_rules(sample_rules(), {.version = base::config_version{4}, .key_salt = "salt"});
    ASSERT_TRUE(outcome.errors.empty()) << to_string(outcome.errors.front());
    const auto& book = *outcome.book;
    EXPECT_EQ(book.version(), base::config_version{4});
    EXPECT_EQ(book.key_salt(), "salt");
    const auto north = id_of<base::region_id>("north");
    const auto south = id_of<base::region_id>("south");
    const auto* joined = book.find_link(south, north);
    ASSERT_NE(joined, nullptr);
    EXPECT_EQ(joined->rate, base::bytes_per_second{17'500'000});
    EXPECT_EQ(joined->price_per_megabyte, base::milliseconds{3});
    const auto* shop = book.find(id_of<base::team_id>("shop"));
    ASSERT_NE(shop, nullptr);
    EXPECT_EQ(shop->home, north);
    EXPECT_EQ(shop->rate, base::tokens_per_second{2000});
    EXPECT_EQ(shop->source.line, 6U);
    EXPECT_EQ(shop->source.asked_by, "lena: new");
    ASSERT_EQ(book.keys().size(), 1U);
    EXPECT_EQ(book.find_key(book.keys()[0].digest)->team, shop->id);
    EXPECT_FALSE(book.find(id_of<base::route_id>("bookings"))->idempotent);
    EXPECT_EQ(book.find(id_of<base::route_id>("chat"))->deadline, base::milliseconds{20'000});
    EXPECT_TRUE(book.find(id_of<base::target_id>("engine-1"))->checks_fencing);
    EXPECT_EQ(book.routing_policy().tail_weight, 200U);
    EXPECT_EQ(book.routing_policy().stay_home, base::milliseconds{250});
}

struct error_case {
    std::string text;
    std::uint32_t column;
    std::string message;
};

class single_error : public testing::TestWithParam<error_case> {};

TEST_P(single_error, is_reported_at_its_column_with_a_remedy)
{
    const auto errors = errors_after_prelude(GetParam().text);
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line, 5U);
    EXPECT_EQ(errors[0].column, GetParam().column) << to_string(errors[0]);
    EXPECT_THAT(errors[0].message, testing::HasSubstr(GetParam().message));
    EXPECT_FALSE(errors[0].remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(
    all, single_error,
    testing::Values(
        error_case{"region west", 12, "who asked"}, error_case{"region west #  ", 13, "who asked"},
        error_case{"regino west # a", 1, "no kind"}, error_case{"region # a", 7, "missing"},
        error_case{"w=1 # a", 1, "no kind"}, error_case{"region w =x # a", 10, "without a name"},
        error_case{"region w e # a", 10, "too many"}, error_case{"region north # a", 8, "line 1"},
        error_case{"region -w # a", 8, "no name"}, error_case{"region w x=1 # a", 10, "no option"},
        error_case{"link north north delay=1ms rate=1Gbit # a", 12, "itself"},
        error_case{"link north west delay=1ms rate=1Gbit # a", 12, "no line defines"},
        error_case{"link north south delay=1 rate=1Gbit # a", 24, "unit"},
        error_case{"link north south delay=1ms rate=99999999999999999999Gbit # a", 33, "between"},
        error_case{"link north south delay=1ms rate=9000000000000000000Gbit # a", 33, "between"},
        // Multiplied by the unit, this slightly exceeds 2^64.
        error_case{"link north south delay=1ms rate=147573952590Gbit # a", 33, "between"},
        error_case{"team t regions=north,west rate=1/s burst=1 # a", 22, "no line defines"},
        error_case{"team t regions=north,,south rate=1/s burst=1 # a", 22, "missing"},
        error_case{"team t regions=north,north rate=1/s burst=1 # a", 22, "twice"},
        error_case{"team t regions=north home=south rate=1/s burst=1 # a", 27, "not allowed"},
        error_case{"team t regions=north rate=1/s rate=2/s burst=1 # a", 31, "given twice"},
        error_case{"team t regions=north rate=0/s burst=1 # a", 27, "between"},
        error_case{"team t regions=north rate= burst=1 # a", 27, "no value"},
        error_case{"team t regions=north burst=1 # a", 29, "no rate="},
        error_case{"team t rate=1/s burst=1 regions=north south # a", 39, "after an option"},
        error_case{"key shop sha256:12 # a", 10, "digest"},
        error_case{"key west " + std::string(digest_text) + " # a", 5, "no line defines"},
        error_case{"route r kind=engine # a", 14, "no value of"},
        error_case{"route r kind=service # a", 21, "no idempotent="},
        error_case{"route r kind=model deadline=0s # a", 29, "between"},
        error_case{"target t region=north address=host:80 routes=chat # a", 31, "no address"},
        error_case{"target t region=north address=0.0.0.0:80 routes=chat # a", 31, "no address"},
        error_case{"target t region=north address=10.0.0.9:81 routes=chat # a", 31, "loop"},
        error_case{"target t region=north address=[::ffff:10.0.0.9]:81 routes=chat # a", 31,
                   "loop"},
        error_case{"target t region=north address=10.0.0.1:80 routes=talk # a", 50,
                   "no line defines"},
        error_case{"policy tail_weight=-1 # a", 20, "between"},
        error_case{"policy tail=1 # a", 8, "no option"}, error_case{"policy # a", 7, "nothing"},
        error_case{std::string("region w\0 # a", 13), 9, "control"},
        error_case{"region w # a\r", 13, "control"}, error_case{"region w # \xC3(", 12, "UTF-8"},
        error_case{"region w # \xED\xA0\x80", 12, "UTF-8"},
        error_case{"region w # " + std::string(5000, 'a'), 4097, "longer"}));

TEST(parse, reports_all_errors_in_the_order_of_lines)
{
    const auto errors = errors_after_prelude("team t regions=west rate=x burst=1\nregion y\n"
                                             "key nobody sha256:00 # a\n");
    std::vector<std::string> positions;
    positions.reserve(errors.size());
    for (const auto& each : errors) {
        positions.push_back(to_string(each).substr(0, to_string(each).find(": ")));
    }
    EXPECT_THAT(positions,
                testing::ElementsAre("f:5:16", "f:5:26", "f:5:35", "f:6:9", "f:7:5", "f:7:12"));
}

TEST(parse, rejects_a_link_given_twice_in_either_direction)
{
    const auto errors = errors_after_prelude("link north south delay=1ms rate=1Gbit # a\n"
                                             "link south north delay=2ms rate=1Gbit # a\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].line, 6U);
    EXPECT_THAT(errors[0].message, testing::HasSubstr("line 5 already joins"));
}

TEST(parse, rejects_a_key_or_target_address_given_twice)
{
    const std::string key_line = "key shop " + std::string(digest_text) + " # a\n";
    const auto keys = errors_after_prelude(key_line + key_line);
    ASSERT_EQ(keys.size(), 1U);
    EXPECT_EQ(keys[0].line, 6U);
    const auto targets =
        errors_after_prelude("target t region=north address=10.0.0.1:80 routes=chat # a\n"
                             "target u region=north address=10.0.0.1:80 routes=chat # a\n");
    ASSERT_EQ(targets.size(), 1U);
    EXPECT_EQ(targets[0].line, 6U);
}

TEST(parse, finds_a_target_at_the_address_of_a_later_vm)
{
    const auto outcome = parse_rules(sample_rules(), {});
    ASSERT_NE(outcome.book, nullptr);
    const std::vector<std::string> others{"10.0.0.1:8001", "10.0.0.2:8000"};
    EXPECT_TRUE(targets_at(*outcome.book, others).empty());
    const std::vector<std::string> same{"[::ffff:10.0.0.1]:8000"};
    EXPECT_THAT(targets_at(*outcome.book, same),
                testing::ElementsAre(id_of<base::target_id>("engine-1")));
}

TEST(parse, accepts_names_before_their_definition)
{
    const auto outcome =
        parse_rules("team t regions=west rate=1/s burst=1 # a\nregion west # a", {});
    EXPECT_TRUE(outcome.errors.empty());
    EXPECT_NE(outcome.book, nullptr);
}

} // namespace
} // namespace chicorylink::rules
