#ifndef CHICORYLINK_BASE_LOG_HPP
#define CHICORYLINK_BASE_LOG_HPP

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::base {

enum class log_level { debug, info, warning, error };

/// @brief Sets the minimum level that is written. The default is `info`.
void set_log_level(log_level level);

/// @brief Sets the fields that are added to every line, such as the VM's name.
/// @param fields A JSON object.
void set_log_context(const nlohmann::json& fields);

/// @brief Writes one JSON line to standard error.
/// @param event Stable name of the event, in snake_case.
/// @param fields A JSON object. Must not contain request bodies or keys.
void log(log_level level, std::string_view event, const nlohmann::json& fields);

/// @brief Writes one line of the audit trail: a log line of level `audit`, which is written at
/// every log level.
void audit(std::string_view event, const nlohmann::json& fields);

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LOG_HPP
