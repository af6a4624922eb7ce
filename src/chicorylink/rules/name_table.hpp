#ifndef CHICORYLINK_RULES_NAME_TABLE_HPP
#define CHICORYLINK_RULES_NAME_TABLE_HPP

#include "chicorylink/rules/rule_kind.hpp"
#include "chicorylink/rules/statement.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chicorylink::rules {

class error_list;

/// @brief The names that a rules text defines and references, in any order.
class name_table {
public:
    /// @brief Records that a line defines a name; reports an error if the name is taken.
    /// @return The id of the name.
    std::uint64_t define(const statement& rule, rule_kind kind, const word& name,
                         error_list& errors);

    /// @brief Records that a line references a name.
    /// @return The id of the name.
    std::uint64_t add_reference(const statement& rule, rule_kind kind, const word& name,
                                error_list& errors);

    /// @brief Reports all references to names that no line defines.
    void report_undefined(error_list& errors) const;

private:
    /// A reference to a name that no earlier line defined.
    struct pending_reference {
        rule_kind kind = rule_kind::region;
        std::uint64_t id = 0;
        std::uint32_t line = 0;
        word name;
    };

    using line_by_id = std::unordered_map<std::uint64_t, std::uint32_t>;
    static constexpr std::size_t kind_count = 7;

    std::array<line_by_id, kind_count> m_defined;
    std::vector<pending_reference> m_pending;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_NAME_TABLE_HPP
