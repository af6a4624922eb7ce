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

/// @brief The names that the lines of a text define and use, in any order.
class name_table {
public:
    /// @brief Notes that a line defines a name; reports one that is taken.
    /// @return The id of the name.
    std::uint64_t define(const statement& from, rule_kind kind, const word& name,
                         error_list& errors);

    /// @brief Notes that a line uses a name.
    /// @return The id of the name.
    std::uint64_t refer(const statement& from, rule_kind kind, const word& name,
                        error_list& errors);

    /// @brief Reports all uses of names that no line defined.
    void report_undefined(error_list& errors) const;

private:
    /// A use of a name that no line before it defined.
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
