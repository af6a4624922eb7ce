// Splits a rules text into parts listed in a manifest, and reads the parts back as a daemon does.

#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"

#include <cstdlib>
#include <iterator>
#include <string>

#include <fmt/format.h>

namespace {

namespace base = chicorylink::base;
namespace rules = chicorylink::rules;

std::string make_text()
{
    constexpr int team_count = 1000;
    std::string text = "region north # lena: first market\n";
    for (int i = 0; i < team_count; ++i) {
        fmt::format_to(std::back_inserter(text),
                       "team shop-{} regions=north rate=2000/s burst=40000 # lena: contract {}\n",
                       i, i);
    }
    return text;
}

base::result<int> publish_and_read()
{
    const auto parts = rules::split_rules(make_text());
    const auto manifest = rules::make_manifest(base::config_version{12}, "9f86d081884c7d65", parts);
    BOOST_LEAF_AUTO(received, rules::parse_manifest(rules::print_manifest(manifest)));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        BOOST_LEAF_CHECK(rules::verify_part(received.parts.at(i), parts[i]));
    }
    const auto outcome =
        rules::parse_parts(parts, {.version = received.version, .key_salt = received.key_salt});
    if (!outcome.book) {
        return EXIT_FAILURE;
    }
    fmt::print("version {}: {} parts, {} teams\n", outcome.book->version().value(), parts.size(),
               outcome.book->teams().size());
    return EXIT_SUCCESS;
}

} // namespace

int main()
{
    return base::leaf::try_handle_all(
        &publish_and_read,
        [](const base::error& failure) {
            fmt::print("{}\n", base::describe(failure));
            return EXIT_FAILURE;
        },
        [] { return EXIT_FAILURE; });
}
