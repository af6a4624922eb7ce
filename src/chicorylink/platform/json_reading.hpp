#ifndef CHICORYLINK_PLATFORM_JSON_READING_HPP
#define CHICORYLINK_PLATFORM_JSON_READING_HPP

#include "chicorylink/base/error.hpp"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorylink::platform {

/// @brief Parses a JSON response and converts it with a function that may throw JSON errors.
/// @param response_name The name of the response, for the error message.
/// @return What `read` returns, or an `invalid_message` error.
template <class Read>
auto read_json(std::string_view text, std::string_view response_name, Read read)
    -> base::result<decltype(read(nlohmann::json{}))>
{
    try {
        return read(nlohmann::json::parse(text));
    }
    catch (const nlohmann::json::exception& failure) {
        return base::fail(base::error_kind::invalid_message,
                          std::string(response_name) + " can't be read: " + failure.what(),
                          "check that the address belongs to a service that speaks the protocol "
                          "of docs/PLATFORM.md");
    }
}

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_JSON_READING_HPP
