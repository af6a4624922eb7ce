#ifndef CHICORYLINK_BASE_LOG_HPP
#define CHICORYLINK_BASE_LOG_HPP

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::base {

enum class log_level { debug, info, warning, error };

/// @brief Sets the lowest level that is written. The default is `info`.
void set_log_level(log_level level);

/// @brief Sets the fields that stand in every line, such as the VM's name. A JSON object.
void set_log_context(const nlohmann::json& fields);

/// @brief Writes one JSON line to standard error.
/// @param event The stable name of what happened, in snake_case.
/// @param fields A JSON object. Never holds request bodies or keys.
void log(log_level level, std::string_view event, const nlohmann::json& fields);

/// @brief Writes one line of the audit trail: a log line of kind `audit` that no level hides.
void audit(std::string_view event, const nlohmann::json& fields);

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LOG_HPP
