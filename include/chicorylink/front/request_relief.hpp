#ifndef CHICORYLINK_FRONT_REQUEST_RELIEF_HPP
#define CHICORYLINK_FRONT_REQUEST_RELIEF_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/request_memory.hpp"

#include <cstdint>
#include <map>
#include <memory>

namespace chicorylink::front {

class caller_connection;
struct front_core;

/// @brief The connections of callers and VMs by the keys of their requests in `request_memory`.
struct request_readers {
    std::map<unfinished_key, std::weak_ptr<caller_connection>> connections;
    /// Requests refused since the high watermark was exceeded.
    std::uint64_t shed = 0;
    bool is_full_logged = false;
};

/// @brief Refuses unfinished requests as `request_memory` decides, and lets connections read on
/// when there is room again. Called when requests hold too much, and periodically.
void relieve_request_memory(front_core& core, base::time_point now);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_RELIEF_HPP
