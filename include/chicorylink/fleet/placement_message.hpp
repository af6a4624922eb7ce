#ifndef CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP
#define CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/target_health.hpp"
#include "chicorylink/fleet/target_notice.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace chicorylink::fleet {

/// @brief A VM's question where one request should go in its region.
struct placement_ask {
    /// Unique among the asks of one run of the asker.
    std::uint64_t number = 0;
    service_name service;
    /// None at a plain service.
    std::optional<prompt> asked;
    /// Spreads requests that have no prompt.
    std::uint64_t spread = 0;
    /// 0 is read first; see `urgency_of`.
    std::uint8_t urgency = 0;
    /// Where the asker is.
    data_center_mark data_center;
    /// Nothing is reserved when the request would wait or start later than this.
    base::milliseconds longest_wait{0};
    base::milliseconds longest_start{0};
    /// The same when more shared tokens than these would have to be read.
    std::uint32_t most_reread_tokens = std::numeric_limits<std::uint32_t>::max();
    /// Targets that failed this request or that the asker can't use now.
    std::vector<base::target_id> avoided;
};

/// @brief The desk's answer.
struct placement_answer {
    std::uint64_t number = 0;
    /// Whether the place is counted as taken until a note ends it.
    bool is_reserved = false;
    /// None when the desk knows no target that can be used.
    std::optional<base::target_id> target;
    base::milliseconds wait{0};
    base::milliseconds start{0};
    std::uint32_t unread_tokens = 0;
};

enum class placement_event : std::uint8_t {
    /// The prompt is read; the answer has begun.
    begun,
    ended,
};

/// @brief What became of a reserved place.
struct placement_note {
    std::uint64_t number = 0;
    placement_event event = placement_event::ended;
    /// None when the attempt says nothing of the target, such as when the caller left.
    std::optional<target_outcome> outcome;
    base::milliseconds took{0};
};

/// @brief One datagram between a VM and a desk.
struct placement_message {
    base::incarnation run;
    std::vector<placement_ask> asks;
    std::vector<placement_answer> answers;
    std::vector<placement_note> notes;
    /// What targets asked of the sender.
    std::vector<target_notice> notices;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP
