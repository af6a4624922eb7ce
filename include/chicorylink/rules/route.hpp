#ifndef CHICORYLINK_RULES_ROUTE_HPP
#define CHICORYLINK_RULES_ROUTE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/origin.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::rules {

/// @brief The kind of back end that serves a route.
enum class route_kind { model, service };

/// @brief The order of requests within a team, and of load shedding when capacity is short.
enum class priority : std::uint8_t { high = 0, normal = 1, low = 2 };

/// @brief A model or service name that callers request, and how its requests are handled.
struct route {
    base::route_id id;
    /// For a model, the `model` field of the request; for a service, the first path segment.
    std::string name;
    route_kind kind = route_kind::model;
    /// Whether a request may be retried after an attempt that may have been executed.
    bool idempotent = true;
    /// Whether requests without a key are served.
    bool open_to_all = false;
    base::milliseconds deadline{30'000};
    priority order = priority::normal;
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_ROUTE_HPP
