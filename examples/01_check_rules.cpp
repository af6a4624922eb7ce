// Parses a rules text and prints its contents, or every error with its location and remedy.

#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

int main()
{
    namespace rules = chicorylink::rules;
    constexpr std::string_view text = R"(region north # lena: first market
route chat kind=model # lena: assistant
target engine-1 region=north address=10.0.3.7:8000 routes=chat # omar: rack 4
team shop regions=nort rate=2000/s burst=40000
)";
    const auto outcome = rules::parse_rules(text, {.file = "rules.txt"});
    for (const auto& error : outcome.errors) {
        fmt::print("{}\n", rules::to_string(error));
    }
    // The last line names an unknown region and lacks the comment that says who requested it.
    constexpr std::size_t expected_faults = 2;
    return outcome.book == nullptr && outcome.errors.size() == expected_faults ? EXIT_SUCCESS
                                                                               : EXIT_FAILURE;
}
