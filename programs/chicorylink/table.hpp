#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_TABLE_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_TABLE_HPP

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::cli {

/// @brief Formats rows as a table with the columns of the first row, in their order.
/// @param rows An array of objects. Values other than strings are shown as JSON.
[[nodiscard]] std::string format_table(const nlohmann::ordered_json& rows);

/// @brief Formats an object as one `name: value` line per member.
[[nodiscard]] std::string format_object(const nlohmann::ordered_json& object);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_TABLE_HPP
