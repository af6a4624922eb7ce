#include "chicorylink/rules/parse.hpp"

#include "chicorylink/rules/error_list.hpp"
#include "chicorylink/rules/rule_reader.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/statement.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace chicorylink::rules {

parse_outcome parse_rules(std::string_view text, const parse_options& options)
{
    error_list errors(options.file);
    rule_reader reader(options, errors);
    statement current;
    std::uint32_t line = 0;
    for (std::size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        if (read_statement(text.substr(start, end - start), ++line, current, errors)) {
            reader.read(current);
        }
        start = end + 1;
    }
    auto book = reader.finish();
    return {std::move(book), errors.take_sorted()};
}

} // namespace chicorylink::rules
