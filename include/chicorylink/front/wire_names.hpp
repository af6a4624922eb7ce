#ifndef CHICORYLINK_FRONT_WIRE_NAMES_HPP
#define CHICORYLINK_FRONT_WIRE_NAMES_HPP

#include <string>
#include <vector>

namespace chicorylink::front {

/// @brief The header names of callers and targets on the platform that the daemon runs on.
struct wire_names {
    /// Identity of one attempt of a caller; targets echo it.
    std::string request_id;
    /// Milliseconds that the sender will wait.
    std::string deadline_ms;
    /// Ids and tokens of the parts of a prompt.
    std::string prompt_parts;
    /// Tokens of the prompt and most tokens of the answer.
    std::string token_counts;
    std::string model;
    /// The newest event that the sender has of a stream.
    std::string last_event_id;
    /// A target's signature of its answer; an answer without it is not a target's.
    std::string signature;
    /// The team that a request runs for; set by the gateway only.
    std::string team;
    /// The run of a target that a request is meant for.
    std::string expected_target;
    /// Running and waiting requests and slots of the answering target.
    std::string load;
    /// Present when a target states that it did not run the request.
    std::string not_run;
    /// Present and `1` when a target finishes what it has and ends.
    std::string leaving;
    /// Urgency of a request at a target, 0 first.
    std::string priority;
    /// A caller's key.
    std::string key;
    /// Fields that only the gateway may send to a target; taken from callers' requests.
    std::vector<std::string> reserved;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_WIRE_NAMES_HPP
