// Parses arbitrary bytes as a rules text. An accepted text must parse the same after printing.

#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/print.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace base = chicorylink::base;
    namespace rules = chicorylink::rules;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto outcome = rules::parse_rules(text, {.vm_addresses = {"10.0.0.1:80"}});
    if ((outcome.book == nullptr) == outcome.errors.empty()) {
        std::abort();
    }
    if (!outcome.book) {
        return 0;
    }
    const auto again = rules::parse_rules(rules::print_rules(*outcome.book), {});
    if (!again.book || !rules::diff_rules(*outcome.book, *again.book).empty()) {
        std::abort();
    }
    const auto parts =
        rules::split_rules(text, {base::bytes{16}, base::bytes{16}, base::bytes{256}});
    const auto joined = rules::parse_parts(parts, {});
    if (!joined.book || !rules::diff_rules(*outcome.book, *joined.book).empty()) {
        std::abort();
    }
    return 0;
}
