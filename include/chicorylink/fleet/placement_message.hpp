#ifndef CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP
#define CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/stream_origin.hpp"
#include "chicorylink/fleet/target_health.hpp"
#include "chicorylink/fleet/target_notice.hpp"
#include "chicorylink/fleet/target_pace.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace chicorylink::fleet {

/// @brief A query to the region's placement coordinator: which target one request should go to.
struct placement_query {
    /// Unique among the queries of one run of the sending VM.
    std::uint64_t number = 0;
    service_name service;
    /// Empty for a plain service.
    std::optional<prompt> engine_prompt;
    /// Spreads requests without a prompt.
    std::uint64_t spread = 0;
    /// Requests with 0 are read first; see `urgency_of`.
    std::uint8_t urgency = 0;
    /// Data center of the sending VM.
    data_center_hash data_center;
    /// Nothing is reserved if the request would wait or start later than this.
    base::milliseconds longest_wait{0};
    base::milliseconds longest_start{0};
    /// Nothing is reserved if more shared tokens than this would have to be read.
    std::uint32_t most_reread_tokens = std::numeric_limits<std::uint32_t>::max();
    /// How long the caller waits for the end of a stream; none if its output is unknown.
    std::optional<base::milliseconds> time_left;
    /// Targets that failed this request or that the sending VM can't use now.
    std::vector<base::target_id> avoided;
};

/// @brief The coordinator's answer to a query.
struct placement_answer {
    std::uint64_t number = 0;
    /// Whether the place stays reserved until a note ends the reservation.
    bool is_reserved = false;
    /// Empty if the coordinator knows no usable target.
    std::optional<base::target_id> target;
    base::milliseconds wait{0};
    base::milliseconds start{0};
    std::uint32_t unread_tokens = 0;
    /// Whether the request counts toward the rate that the target states.
    bool is_paced = false;
    /// The target from whose cache parts of the prompt are fetched; empty if they are not.
    std::optional<base::target_id> prefix_holder;
    /// Expected time to the end of a stream; 0 if unknown.
    base::milliseconds end{0};
};

/// @brief Tokens that running streams of one VM got from a target since its last message.
struct stream_tokens {
    base::target_id target;
    std::uint32_t tokens = 0;
    /// Time since the events before them, over all streams.
    base::milliseconds elapsed{0};
};

enum class placement_event : std::uint8_t {
    /// The target has read the prompt and begun its answer.
    begun,
    ended,
};

/// @brief Reports what became of a reserved place.
struct placement_note {
    std::uint64_t number = 0;
    placement_event event = placement_event::ended;
    /// Empty if the attempt says nothing about the target, for example when the caller left.
    std::optional<target_outcome> outcome;
    base::milliseconds took{0};
};

/// @brief One datagram between a VM and a placement coordinator.
struct placement_message {
    base::incarnation run;
    std::vector<placement_query> queries;
    std::vector<placement_answer> answers;
    std::vector<placement_note> notes;
    /// Notices that targets gave to the sender.
    std::vector<target_notice> notices;
    /// What targets stated to the sender about the rate that they take.
    std::vector<limit_report> limits;
    /// Crashes and survivals that the sender saw.
    crash_reports crashes;
    std::vector<stream_tokens> tokens;
    /// What the sender saw of the speed of targets.
    std::vector<target_pace> paces;
    /// The versions that began streams, and questions and answers about them.
    std::vector<stream_origin> origins;
    std::vector<origin_query> origin_queries;
    std::vector<origin_answer> origin_answers;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_MESSAGE_HPP
