#include "chicorylink/rules/print.hpp"

#include "chicorylink/rules/fields.hpp"
#include "chicorylink/rules/rule_kind.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

using numbered_line = std::pair<std::uint32_t, std::string>;

std::string line_text(rule_kind kind, const std::string& names, const std::string& options,
                      const origin& source)
{
    std::string text(to_string(kind));
    for (const auto* piece : {&names, &options}) {
        if (!piece->empty()) {
            text += ' ';
            text += *piece;
        }
    }
    return fmt::format("{} # {}\n", text, source.asked_by.empty() ? "unknown" : source.asked_by);
}

template <class Rule>
void add_lines(std::vector<numbered_line>& lines, const rulebook& book, rule_kind kind,
               const std::vector<Rule>& rules)
{
    for (const auto& rule : rules) {
        const auto options = join_fields(fields_of(book, rule));
        lines.emplace_back(rule.source.line,
                           line_text(kind, names_of(book, rule), options, rule.source));
    }
}

void add_policy_lines(std::vector<numbered_line>& lines, const policy& rule)
{
    const auto fields = fields_of(rule);
    for (std::size_t i = 0; i < policy_setting_count; ++i) {
        const auto& source = rule.sources.at(i);
        if (source.line != 0) {
            lines.emplace_back(source.line,
                               line_text(rule_kind::policy, {}, join_fields({fields[i]}), source));
        }
    }
}

} // namespace

std::string print_rules(const rulebook& book)
{
    std::vector<numbered_line> lines;
    add_lines(lines, book, rule_kind::region, book.regions());
    add_lines(lines, book, rule_kind::link, book.links());
    add_lines(lines, book, rule_kind::route, book.routes());
    add_lines(lines, book, rule_kind::target, book.targets());
    add_policy_lines(lines, book.routing_policy());
    add_lines(lines, book, rule_kind::team, book.teams());
    add_lines(lines, book, rule_kind::key, book.keys());
    std::stable_sort(lines.begin(), lines.end(),
                     [](const numbered_line& left, const numbered_line& right) {
                         return left.first < right.first;
                     });
    std::string text;
    for (const auto& line : lines) {
        text += line.second;
    }
    return text;
}

} // namespace chicorylink::rules
