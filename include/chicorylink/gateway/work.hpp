#ifndef CHICORYLINK_GATEWAY_WORK_HPP
#define CHICORYLINK_GATEWAY_WORK_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/stream_progress.hpp"
#include "chicorylink/dispatch/ticket.hpp"
#include "chicorylink/gateway/answer_head.hpp"
#include "chicorylink/gateway/answer_sink.hpp"
#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/forwarded_request.hpp"
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

/// @brief Where a request stands at this VM.
enum class work_phase {
    /// Waits for tokens of its team's budget.
    reserving,
    /// Waits for a target, in the router's queue.
    queued,
    /// An attempt is being made; no byte of it has left.
    connecting,
    /// The request may have reached a target.
    possibly_sent,
    /// A part of the answer was passed on.
    answering,
    /// The answer was given; late events are ignored.
    done,
};

/// @brief One request in progress at this VM. All fields but the constant ones are guarded by
/// `mutex`, which is never held while another work is touched.
struct work {
    explicit work(routing::request_id given) : id(given) {}

    const routing::request_id id;
    std::mutex mutex;

    /// What the request is; set before it is shared between threads.
    base::team_id team;
    std::optional<base::digest> key_digest;
    rules::route route;
    base::config_version version;
    std::string correlation;
    caller_request content;
    bool stream = false;
    std::string ticket;
    forward_purpose purpose = forward_purpose::run;
    base::time_point arrived{};
    base::time_point deadline{};
    std::uint8_t hop = 0;
    base::tokens prompt_bound;
    base::tokens answer_bound;
    answer_sink sink;

    /// The routing request, kept for further attempts.
    routing::request asked;
    work_phase phase = work_phase::reserving;

    /// Budget.
    std::uint64_t reservation = 0;
    base::tokens counted_answer;
    base::tokens reported_usage;

    /// The present attempt, and what came of the attempts before it. Events that carry another
    /// attempt's id are of an abandoned one and are dropped.
    dispatch::attempt present;
    dispatch::outcome earlier = dispatch::outcome::not_run;
    std::uint8_t attempts = 0;
    /// The ticket that this VM runs the request with.
    std::optional<dispatch::ticket> held_ticket;
    base::incarnation ticket_process;
    /// The caller says that it did not try this ticket before.
    bool is_first_try = false;
    base::target_id target;
    std::optional<platform::transfer_id> transfer;
    base::region_id forward_region;
    std::unique_ptr<stream_writer> forward;
    base::time_point attempt_started{};
    /// When the last bytes of the answer came.
    base::time_point last_progress{};

    /// The answer's receiver asked to wait; bytes that came over a peer link and were not given
    /// credit for yet.
    bool paused = false;
    std::size_t unconsumed = 0;

    /// The answer of the present attempt.
    int status = 0;
    header_list answer_headers;
    std::string answer_body;
    bool crossed = false;
    bool whole_stream = false;
    bool answer_is_stream = false;
    /// Bytes of a forwarded answer's head that have arrived, until it is whole.
    std::vector<std::uint8_t> partial_head;
    std::optional<answer_head> forwarded_head;
    sse_splitter events;
    /// Which tokens of the stream were passed on, over all attempts, and the position of the
    /// present attempt's next one.
    dispatch::stream_progress progress;
    std::uint64_t position = 0;
};

/// @brief What is known of the effect of a request over all its attempts. The lock is held by the
/// caller.
[[nodiscard]] dispatch::outcome outcome_so_far(const work& entry);

/// @brief Until when the next attempt may begin: the request's deadline, or a short time for a
/// stream that goes on. The lock is held by the caller.
[[nodiscard]] base::time_point attempt_deadline(const work& entry, base::time_point now);

/// @brief Begins a new attempt, ending the one before. The lock is held by the caller.
/// @return The id that events of the new attempt carry.
dispatch::attempt_id next_attempt(work& entry, base::incarnation process, base::time_point now);

/// @brief Whether an event of an attempt still counts. The lock is held by the caller.
[[nodiscard]] bool is_current(const work& entry, const dispatch::attempt_id& attempt);

using work_ptr = std::shared_ptr<work>;

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_WORK_HPP
