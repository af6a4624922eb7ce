#ifndef CHICORYLINK_GATEWAY_REQUEST_WATCH_HPP
#define CHICORYLINK_GATEWAY_REQUEST_WATCH_HPP

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// @brief Ends requests whose key was withdrawn or whose team may not use this region any more.
/// To be called when a version of the rules comes into force.
void end_unauthorized(services& deps, const rules::rulebook& book);

/// @brief Ends requests whose response did not begin before their deadline, and streams that were
/// idle for too long. To be called several times a second.
void end_overdue(services& deps);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_REQUEST_WATCH_HPP
