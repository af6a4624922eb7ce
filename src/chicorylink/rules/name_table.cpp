#include "chicorylink/rules/name_table.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/error_list.hpp"
#include "chicorylink/rules/statement_checks.hpp"

#include <fmt/format.h>

namespace chicorylink::rules {

std::uint64_t name_table::define(const statement& rule, rule_kind kind, const word& name,
                                 error_list& errors)
{
    check_name(rule, name, errors);
    const auto id = base::hash_name(name.text);
    const auto [known, added] = m_defined.at(static_cast<std::size_t>(kind)).emplace(id, rule.line);
    if (!added) {
        add_error(errors, rule, name,
                  fmt::format("the {} {} is taken by line {}", to_string(kind), quoted(name),
                              known->second),
                  "choose another name or remove one of the lines");
    }
    return id;
}

std::uint64_t name_table::add_reference(const statement& rule, rule_kind kind, const word& name,
                                        error_list& errors)
{
    const auto id = base::hash_name(name.text);
    if (!check_name(rule, name, errors)) {
        return id;
    }
    if (!m_defined.at(static_cast<std::size_t>(kind)).contains(id)) {
        m_pending.push_back({kind, id, rule.line, name});
    }
    return id;
}

void name_table::report_undefined(error_list& errors) const
{
    for (const auto& use : m_pending) {
        if (m_defined.at(static_cast<std::size_t>(use.kind)).contains(use.id)) {
            continue;
        }
        errors.add(use.line, use.name.column,
                   fmt::format("no line defines the {} {}", to_string(use.kind), quoted(use.name)),
                   fmt::format("add a {} line or correct the name", to_string(use.kind)));
    }
}

} // namespace chicorylink::rules
