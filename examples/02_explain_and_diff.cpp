// Compares two versions of the rules and explains where a team's requests may run.

#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/explain.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <cstdlib>
#include <string>

#include <fmt/format.h>

int main()
{
    namespace rules = chicorylink::rules;
    const std::string common =
        "region north # lena: first market\n"
        "region south # lena: second market\n"
        "route chat kind=model # lena: assistant\n"
        "target e1 region=south address=10.1.3.7:8000 routes=chat # omar: x\n";
    const auto older = rules::parse_rules(
        common + "team shop regions=north rate=2000/s burst=40000 # lena: contract 7\n", {});
    const auto newer = rules::parse_rules(
        common + "team shop regions=north,south rate=2500/s burst=40000 # omar: contract 9\n", {});
    if (!older.book || !newer.book) {
        return EXIT_FAILURE;
    }
    for (const auto& change : rules::diff_rules(*older.book, *newer.book)) {
        fmt::print("{}\n", rules::to_string(change));
    }
    return chicorylink::base::leaf::try_handle_all(
        [&]() -> chicorylink::base::result<int> {
            BOOST_LEAF_AUTO(regions, rules::explain_route(*newer.book, "shop", "chat"));
            for (const auto& each : regions) {
                fmt::print("{}: {}, {}\n", each.region, rules::to_string(each.verdict),
                           each.reason);
            }
            return EXIT_SUCCESS;
        },
        [] { return EXIT_FAILURE; });
}
