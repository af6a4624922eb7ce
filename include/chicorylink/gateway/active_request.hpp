#ifndef CHICORYLINK_GATEWAY_ACTIVE_REQUEST_HPP
#define CHICORYLINK_GATEWAY_ACTIVE_REQUEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/stream_progress.hpp"
#include "chicorylink/dispatch/ticket.hpp"
#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/forwarded_request.hpp"
#include "chicorylink/gateway/response_head.hpp"
#include "chicorylink/gateway/response_sink.hpp"
#include "chicorylink/gateway/sse_splitter.hpp"
#include "chicorylink/gateway/stream_writer.hpp"
#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/routing/request.hpp"
#include "chicorylink/rules/route.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::gateway {

/// @brief Processing phase of a request at this VM.
enum class request_phase {
    /// Waiting for tokens of its team's budget.
    reserving,
    /// Waiting for a target, in the router's queue.
    queued,
    /// An attempt has begun; none of its bytes have been sent.
    connecting,
    /// The request may have reached a target.
    possibly_sent,
    /// Part of the response has been delivered.
    responding,
    /// The response is complete; late events are ignored.
    done,
};

/// @brief A request in progress at this VM. All fields but the constant ones are protected by
/// `mutex`, which is never held while another request is accessed.
struct active_request {
    explicit active_request(routing::request_id new_id) : id(new_id) {}

    const routing::request_id id;
    std::mutex mutex;

    /// Description of the request; set before it is shared between threads.
    base::team_id team;
    std::optional<base::digest> key_digest;
    rules::route route;
    base::config_version version;
    std::string correlation_id;
    caller_request content;
    bool stream = false;
    std::string ticket;
    forward_purpose purpose = forward_purpose::run;
    base::time_point arrived{};
    base::time_point deadline{};
    std::uint8_t hop = 0;
    base::tokens prompt_bound;
    base::tokens answer_bound;
    response_sink sink;

    /// The routing request, kept for retries.
    routing::request routing_request;
    request_phase phase = request_phase::reserving;

    /// Budget.
    std::uint64_t reservation = 0;
    base::tokens delivered_tokens;
    base::tokens reported_usage;

    /// The current attempt and the outcome of the earlier ones. Events that carry another attempt's
    /// id belong to an abandoned attempt and are dropped.
    dispatch::attempt current_attempt;
    dispatch::outcome earlier_outcome = dispatch::outcome::not_run;
    std::uint8_t attempts = 0;
    /// The ticket under which this VM runs the request.
    std::optional<dispatch::ticket> held_ticket;
    base::incarnation ticket_process;
    /// The caller states that it has not tried this ticket before.
    bool is_first_try = false;
    base::target_id target;
    std::optional<platform::transfer_id> transfer;
    base::region_id forward_region;
    std::unique_ptr<stream_writer> forward;
    base::time_point attempt_started{};
    /// When the last bytes of the response arrived.
    base::time_point last_progress{};

    /// The receiver of the response asked to pause, and the number of bytes received over a peer
    /// link for which no flow control credit has been returned yet.
    bool paused = false;
    std::size_t unconsumed_bytes = 0;

    /// The response of the current attempt.
    int status = 0;
    header_list response_headers;
    std::string response_body;
    bool mismatched = false;
    bool stream_complete = false;
    bool response_is_stream = false;
    /// Received bytes of a forwarded response's head, until it is complete.
    std::vector<std::uint8_t> partial_head;
    std::optional<response_head> forwarded_head;
    sse_splitter events;
    /// Tokens of the stream that were delivered, over all attempts, and the position of the current
    /// attempt's next token.
    dispatch::stream_progress progress;
    std::uint64_t position = 0;
};

/// @brief Outcome of a request over all its attempts, as far as known. The caller holds the lock.
[[nodiscard]] dispatch::outcome outcome_so_far(const active_request& entry);

/// @brief Latest time for the next attempt to begin: the request's deadline, or shortly after `now`
/// for a stream to resume. The caller holds the lock.
[[nodiscard]] base::time_point attempt_deadline(const active_request& entry, base::time_point now);

/// @brief Begins a new attempt, ending the previous one. The caller holds the lock.
/// @return The id that events of the new attempt carry.
dispatch::attempt_id next_attempt(active_request& entry, base::incarnation process,
                                  base::time_point now);

/// @brief Whether an attempt is the current one of a request that is not done. The caller holds the
/// lock.
[[nodiscard]] bool is_current(const active_request& entry, const dispatch::attempt_id& attempt);

using active_request_ptr = std::shared_ptr<active_request>;

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_ACTIVE_REQUEST_HPP
