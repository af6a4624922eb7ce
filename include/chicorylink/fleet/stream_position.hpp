#ifndef CHICORYLINK_FLEET_STREAM_POSITION_HPP
#define CHICORYLINK_FLEET_STREAM_POSITION_HPP

#include <string_view>

namespace chicorylink::fleet {

/// @brief Whether an event can come behind the last one that the caller has, by their ids. Of ids
/// that are no whole numbers, only an equal one is known not to.
[[nodiscard]] bool follows(std::string_view event_id, std::string_view last_id);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STREAM_POSITION_HPP
