#include "chicorylink/rules/statement_checks.hpp"

#include "chicorylink/rules/error_list.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace chicorylink::rules {
namespace {

constexpr std::size_t name_size_limit = 63;
constexpr std::size_t quoted_size_limit = 40;

bool is_alphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= name_size_limit && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
           });
}

} // namespace

void add_error(error_list& errors, const statement& rule, const word& at, std::string message,
               std::string remedy)
{
    errors.add(rule.line, at.column, std::move(message), std::move(remedy));
}

std::string quoted(const word& token)
{
    return fmt::format("'{}'", token.text.substr(0, quoted_size_limit));
}

word end_of(const statement& rule)
{
    word last = rule.kind;
    if (!rule.names.empty()) {
        last = rule.names.back();
    }
    if (!rule.options.empty()) {
        last = rule.options.back().value;
    }
    return {{}, last.column + static_cast<std::uint32_t>(last.text.size())};
}

const option* find_option(const statement& rule, std::string_view name)
{
    const auto found = std::find_if(rule.options.begin(), rule.options.end(),
                                    [&](const option& each) { return each.name.text == name; });
    return found == rule.options.end() ? nullptr : &*found;
}

const option* require_option(const statement& rule, std::string_view name, error_list& errors)
{
    const auto* const found = find_option(rule, name);
    if (found == nullptr) {
        add_error(errors, rule, end_of(rule),
                  fmt::format("the {} has no {}=", rule.kind.text, name),
                  fmt::format("add {}=; see docs/RULES.md", name));
    }
    return found;
}

bool expect_names(const statement& rule, std::size_t count, std::string_view usage,
                  error_list& errors)
{
    if (rule.names.size() == count) {
        return true;
    }
    const auto remedy = fmt::format("write {}, then options and the comment", usage);
    if (rule.names.size() < count) {
        add_error(errors, rule, end_of(rule), "a name is missing", remedy);
        return false;
    }
    add_error(errors, rule, rule.names[count],
              fmt::format("{} is one word too many", quoted(rule.names[count])), remedy);
    return true;
}

void expect_options(const statement& rule, std::initializer_list<std::string_view> known,
                    error_list& errors)
{
    for (const auto& assignment : rule.options) {
        if (std::find(known.begin(), known.end(), assignment.name.text) != known.end()) {
            continue;
        }
        add_error(errors, rule, assignment.name,
                  fmt::format("{} has no option {}", rule.kind.text, quoted(assignment.name)),
                  known.size() == 0 ? std::string("remove it")
                                    : fmt::format("use one of: {}", fmt::join(known, ", ")));
    }
}

bool check_name(const statement& rule, const word& name, error_list& errors)
{
    if (is_name(name.text)) {
        return true;
    }
    if (!name.text.empty() || name.column == 0) {
        add_error(errors, rule, name, fmt::format("{} is no name", quoted(name)),
                  "use up to 63 letters, digits, '.', '_' and '-'; start with a letter or digit");
        return false;
    }
    add_error(errors, rule, name, "a name is missing",
              "write a name, or remove the comma or option");
    return false;
}

std::int64_t parse_quantity_option(const statement& rule, const option* assignment,
                                   const quantity_format& format, std::int64_t default_value,
                                   error_list& errors)
{
    if (assignment == nullptr || assignment->value.text.empty()) {
        return default_value;
    }
    auto reading = parse_quantity(assignment->value.text, format);
    if (!reading.error.empty()) {
        add_error(errors, rule, assignment->value, std::move(reading.error),
                  fmt::format("write it like {}={}", assignment->name.text, format.example));
        return default_value;
    }
    return reading.value;
}

std::size_t parse_choice_option(const statement& rule, const option* assignment,
                                std::initializer_list<std::string_view> choices,
                                std::size_t default_value, error_list& errors)
{
    if (assignment == nullptr || assignment->value.text.empty()) {
        return default_value;
    }
    const auto found = std::find(choices.begin(), choices.end(), assignment->value.text);
    if (found == choices.end()) {
        add_error(
            errors, rule, assignment->value,
            fmt::format("{} is no value of '{}'", quoted(assignment->value), assignment->name.text),
            fmt::format("use one of: {}", fmt::join(choices, ", ")));
        return default_value;
    }
    return static_cast<std::size_t>(std::distance(choices.begin(), found));
}

} // namespace chicorylink::rules
