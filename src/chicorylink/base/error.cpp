#include "chicorylink/base/error.hpp"

#include <fmt/format.h>

namespace chicorylink::base {

std::string_view to_string(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_setting:
        return "invalid_setting";
    case error_kind::invalid_rule:
        return "invalid_rule";
    case error_kind::invalid_message:
        return "invalid_message";
    case error_kind::invalid_state:
        return "invalid_state";
    case error_kind::not_found:
        return "not_found";
    case error_kind::not_allowed:
        return "not_allowed";
    case error_kind::stale:
        return "stale";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::timed_out:
        return "timed_out";
    case error_kind::io:
        return "io";
    }
    return "unknown";
}

std::string describe(const error& failure)
{
    if (failure.remedy.empty()) {
        return failure.message;
    }
    return fmt::format("{}; {}", failure.message, failure.remedy);
}

} // namespace chicorylink::base
