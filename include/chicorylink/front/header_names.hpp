#ifndef CHICORYLINK_FRONT_HEADER_NAMES_HPP
#define CHICORYLINK_FRONT_HEADER_NAMES_HPP

#include <string>
#include <vector>

namespace chicorylink::front {

/// @brief Names of the HTTP header fields that the platform's callers and targets use.
struct header_names {
    /// Id of one attempt of a caller; targets echo it.
    std::string request_id;
    /// How long the sender will wait, in milliseconds.
    std::string deadline_ms;
    /// Id and token count of each part of a prompt.
    std::string prompt_parts;
    /// Tokens of the prompt and maximum tokens of the response.
    std::string token_counts;
    std::string model;
    /// The caller's estimate of the tokens of the response.
    std::string output_estimate;
    /// Id of the last event of a stream that the sender has received.
    std::string last_event_id;
    /// Id of the request that brought the first event of a stream which a caller takes up again.
    std::string resumed_request;
    /// A target's signature of its response; a response without it isn't from a target.
    std::string signature;
    /// The team that a request is run for; set by the gateway only.
    std::string team;
    /// The run (process instance) of the target that a request is meant for.
    std::string expected_target;
    /// Running and queued requests and the slots of the responding target.
    std::string load;
    /// Present when the target did not run the request.
    std::string not_run;
    /// `1` when the target finishes its current requests and then exits.
    std::string leaving;
    /// Requests per second that the responding target takes from all VMs together.
    std::string rate_limit;
    /// Priority of a request at a target; 0 is served first.
    std::string priority;
    /// `IP:PORT` of the target from whose cache parts of a prompt are fetched.
    std::string prefix_holder;
    /// A caller's API key.
    std::string key;
    /// Fields that only the gateway may send to a target; removed from callers' requests.
    std::vector<std::string> reserved;
    /// Fields of targets' responses that are only passed on.
    std::vector<std::string> unused_in_responses;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_HEADER_NAMES_HPP
