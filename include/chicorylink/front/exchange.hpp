#ifndef CHICORYLINK_FRONT_EXCHANGE_HPP
#define CHICORYLINK_FRONT_EXCHANGE_HPP

#include "chicorylink/base/sse_parser.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"
#include "chicorylink/fleet/limited_regions.hpp"
#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/fleet/quota_credit.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/retry_after_delay.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/fleet/software_version.hpp"
#include "chicorylink/front/held_bytes.hpp"
#include "chicorylink/front/incoming_request.hpp"
#include "chicorylink/front/placement_link.hpp"
#include "chicorylink/front/resolution.hpp"
#include "chicorylink/front/upstream_call.hpp"
#include "chicorylink/scheduling/quota_admission.hpp"
#include "chicorylink/scheduling/return_slots.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicorylink::base {
class log_line;
} // namespace chicorylink::base

namespace chicorylink::front {

class caller_connection;
struct front_core;
struct known_version;

/// @brief Handles one request from arrival to the end of its response, across all attempts.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(front_core& core, caller_connection& caller, incoming_request request);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    [[nodiscard]] const std::string& request_id() const { return m_request.id; }

    void begin(base::time_point now);

    /// @brief Called when the caller's connection has closed; cancels the running attempt.
    void on_caller_disconnected(base::time_point now);

    /// @brief Called when all bytes queued for the caller have been sent.
    void on_caller_drained();

    /// @brief Checks the deadline and whether the target has gone silent, and looks again for a
    /// target of a stream that has none.
    void tick(base::time_point now);

    /// @brief Ends the request because the process is stopping.
    void on_stop(base::time_point now);

private:
    /// Destination and progress of one attempt.
    struct attempt {
        /// The number of the attempt among those of the request, from 1.
        std::uint32_t number = 0;
        std::shared_ptr<upstream_call> call;
        /// Empty if the request was sent to another VM.
        fleet::target_name target;
        std::string address;
        fleet::region_name region;
        base::time_point sent_at{};
        /// Time of the last progress: a response head, a complete stream event, or body bytes of
        /// a non-streamed response.
        base::time_point last_progress{};
        std::uint32_t unread_tokens = 0;
        /// The value of `unread_tokens` when the request was sent.
        std::uint32_t unread_at_send = 0;
        /// The target from whose cache parts of the prompt are fetched; may be empty.
        fleet::target_name prefix_holder;
        base::milliseconds expected_wait{0};
        base::milliseconds expected_start{0};
        /// The place reserved by the region's coordinator; none if this VM chose the target itself.
        std::optional<reserved_place> place;
        std::optional<fleet::target_outcome> outcome;
        message_head head;
        base::sse_parser events;
        /// Bytes held back until the response ends, or until the attempt's first event.
        std::string buffered_body;
        /// Counts these bytes and the unfinished event; null before the first ones.
        std::unique_ptr<held_bytes> held;
        /// Whether the request no longer counts as the target's load in the pool.
        bool released = false;
        bool ended = false;
        /// Whether the caller has a part of the response from an earlier attempt.
        bool is_continuation = false;
        /// Whether an event of the stream was passed to the caller.
        bool has_event = false;
        /// The target's run that the request was sent to.
        fleet::target_run run;
        /// The software version of the target; none if it is unknown.
        std::optional<fleet::version_hash> version;
        /// When the first event arrived, or the first bytes of a response that is no stream.
        std::optional<base::time_point> begun_at;
        /// When the last event of a stream arrived.
        std::optional<base::time_point> last_event_at;
        /// Whether the response shows that the target did not crash on the prompt.
        bool has_survived = false;
    };

    // Before an attempt.
    [[nodiscard]] std::optional<refusal> resolve_request(base::time_point now);
    [[nodiscard]] std::optional<refusal> check_quota(base::time_point now);
    void dispatch(base::time_point now);
    [[nodiscard]] fleet::placement_query make_placement_query(base::time_point now) const;
    void on_placement_result(const placement_result& placement);
    /// @brief How long the caller waits for the end of a stream of known output that has not begun.
    [[nodiscard]] std::optional<base::milliseconds> stream_time_left(base::time_point now) const;
    /// @brief The target chosen by the coordinator, if this VM can use it.
    [[nodiscard]] std::optional<fleet::placement_choice>
    usable_choice(const fleet::placement_answer& answer, base::time_point now) const;
    /// @brief Sends the request to the local target, sends it to another region, or refuses it.
    void send_or_refuse(const std::optional<fleet::placement_choice>& local_choice,
                        base::time_point now);
    [[nodiscard]] std::optional<fleet::placement_choice>
    choose_local_target(base::time_point now) const;
    [[nodiscard]] std::vector<fleet::remote_region> remote_candidates(base::time_point now) const;
    /// @brief Whether the request may be sent to this VM of another region.
    [[nodiscard]] bool is_eligible_peer(const std::string& ip, const fleet::member& peer,
                                        const fleet::region_name& region,
                                        base::time_point now) const;
    [[nodiscard]] bool has_peer_in(const fleet::region_name& region, base::time_point now) const;
    /// @brief Whether the request may run in another region and a VM there takes it.
    [[nodiscard]] bool may_leave_for(const fleet::region_name& region, base::time_point now) const;
    /// @brief The other regions that may serve the request although their targets limit their rate.
    [[nodiscard]] std::vector<fleet::limited_region> limited_candidates(base::time_point now) const;
    /// @brief Sends a request for which no region has capacity to a region whose targets limit
    /// their rate.
    /// @return False if there is none, or if this VM has sent it its part already.
    bool send_to_limited_region(base::time_point now);
    /// @brief Chooses the VM of another region to send the request to.
    [[nodiscard]] std::string choose_peer(const fleet::region_name& region,
                                          base::time_point now) const;
    [[nodiscard]] fleet::region_request make_region_request(base::time_point now) const;
    /// @param region_ips The live VMs of this region, which share its targets.
    /// @param is_paced Whether the coordinator counted the request toward the target's rate.
    [[nodiscard]] bool may_use(const fleet::tracked_target& target,
                               const std::vector<std::string>& region_ips, bool is_paced,
                               base::time_point now) const;
    /// @brief Counts a request that is being sent toward the rate of its target.
    void note_paced(const fleet::placement_choice& choice, base::time_point now);
    void send_to_target(const fleet::placement_choice& choice, std::optional<reserved_place> place,
                        base::time_point now);
    void send_to_peer(const fleet::region_decision& decision, const std::string& ip,
                      base::time_point now);
    void send(std::string bytes, base::milliseconds connect_timeout, base::time_point now);

    // The software version of a stream.
    /// @brief Finds the version of a stream that the caller takes up, and then dispatches it.
    /// @return False if the request takes no stream up, or if its version is known already.
    bool find_stream_version(base::time_point now);
    void on_version(const known_version& found);
    /// @brief Whether the stream may go on at a target.
    [[nodiscard]] bool has_version(const fleet::target_entry& entry) const;
    /// @brief Whether a region has a target at which the stream may go on.
    [[nodiscard]] bool has_version_in(const fleet::region_name& region) const;
    void note_sent_version();
    /// @brief Reads the version of the target from the response of another VM, and checks that of a
    /// target of this region.
    void read_version(const message_head& head);
    /// @brief Tells a forwarding VM the version of the target.
    void write_version(header_fields& fields) const;
    /// @brief Whether the current attempt continues the stream at the version that began it.
    [[nodiscard]] bool is_same_version() const;
    /// @brief Records the version at the first event that the caller gets.
    void note_stream_version(base::time_point now);

    // Callers that return after a refusal.
    /// @brief How much longer a new request waits because callers return before it.
    [[nodiscard]] base::milliseconds reserved_wait(const fleet::region_request& request,
                                                   base::time_point now) const;
    /// @brief When a caller that would wait too long should return; reserves that time.
    /// @param excess By how much the wait exceeds the longest one.
    [[nodiscard]] base::milliseconds delay_until_return(base::milliseconds excess,
                                                        base::time_point now);
    /// @brief Counts a response that has begun toward the rate at which targets begin requests.
    void note_begun(int status);
    void log_return(base::log_line& line, base::time_point now) const;

    // The team's quota.
    /// @brief What the request asks of its team's quota; its team is known.
    [[nodiscard]] scheduling::quota_demand quota_demand() const;
    /// @brief Frees the body of a request that will not be sent again.
    void drop_request_body();
    void charge_quota(base::time_point now);
    /// @brief Gives the team back what a refused request was charged here, unless it may have run.
    void refund_quota(base::time_point now);
    void log_quota(base::log_line& line, int status, base::time_point now) const;
    /// @brief Whether an earlier attempt used the same address.
    [[nodiscard]] bool was_sent_to(const std::string& address) const;

    // While an attempt runs.
    /// @brief The call of the running attempt; null between attempts.
    [[nodiscard]] upstream_call* running_call() const;
    // The first argument is the number of the attempt that the response belongs to.
    void on_head(std::uint32_t number, const message_head& head);
    void on_body(std::uint32_t number, std::string_view piece);
    void on_response_end(std::uint32_t number);
    void on_failure(std::uint32_t number, const upstream_failure& failure);
    void on_event(attempt& from, const base::sse_event& event, base::time_point now);
    /// @brief Records how long a stream waited for the tokens of an event.
    void note_tokens(attempt& from, base::time_point now);
    /// @brief Sends the events of one read to the caller at once: each send is a system call.
    void send_events();
    [[nodiscard]] bool is_silent_attempt(std::uint32_t number) const
    {
        return m_silent_attempt && m_silent_attempt->number == number;
    }
    /// @brief Ends an attempt because of what its response's body holds.
    void reject_body(std::uint32_t number, std::string_view detail, base::time_point now);
    /// @brief Whether a response can continue the stream that the caller has a part of.
    [[nodiscard]] bool is_same_stream(const message_head& head) const;
    /// @brief Whether an event of a continuation comes behind those that the caller has.
    [[nodiscard]] bool comes_behind_last(const attempt& from, const base::sse_event& event) const;
    void note_progress(base::time_point now);
    void pause_for_slow_caller();
    /// @brief Adds what an attempt holds to the count of all requests.
    void count_held(attempt& from);
    void read_load(const message_head& head, base::time_point now);
    /// @brief Records what a target stated about its times.
    /// @param percent 100 means as usual.
    void note_stated_time(double percent, base::time_point now);
    /// @brief Applies what the target's response says about itself: that it is leaving, or that
    /// it must get no requests for some time.
    void read_notices(const message_head& head, base::time_point now);
    /// @brief Records the limit that the target's response states for the requests of all VMs.
    void read_limit(const message_head& head, base::time_point now);
    /// @brief Logs the fields of a target's response that this program does not know.
    void log_unknown_fields(const message_head& head);
    /// @brief Whether a response head comes from a target and belongs to this request.
    [[nodiscard]] bool is_target_response(const message_head& head) const;
    void flush_buffered(base::time_point now);

    // While a target is silent. A sound target may be silent for a while, so its attempt goes on
    // until another target has begun its response.
    [[nodiscard]] bool is_silent(base::time_point now) const;
    /// @brief Whether a request whose target is silent can be retried at another target.
    [[nodiscard]] bool can_retry_elsewhere(base::time_point now) const;
    /// @brief Ejects the silent target and looks for another one, if the request may be retried.
    void on_silence(base::time_point now);
    /// @brief Whether a head shows that the silent target serves the request after all.
    [[nodiscard]] bool is_served(const message_head& head) const;
    /// @brief Whether a response that has ended can be a whole one.
    [[nodiscard]] bool is_complete(const attempt& from) const;
    /// @brief Goes on with the silent target's attempt and cancels the one that was to replace it.
    void resume_silent_attempt(base::time_point now);
    /// @brief Ends the silent target's attempt; the request goes on without it.
    void end_silent_attempt(std::string_view detail, base::time_point now);
    /// @brief Cancels all attempts.
    /// @return Whether the current one may have arrived at its target.
    bool cancel_attempts(base::time_point now);

    // While a stream that has begun has no target.
    /// @brief Looks for a target again later, if the stream can be continued and the caller still
    /// waits for it.
    /// @return False if the stream can only be given up.
    bool await_target(std::string_view reason, base::time_point now);
    /// @brief Refuses the request, unless its stream can wait for the cause to pass.
    void wait_or_refuse(const refusal& cause, base::time_point now);
    void search_again(base::time_point now);

    // Requests that crash targets.
    /// @brief What in the request may be the cause when its target crashes.
    [[nodiscard]] std::vector<fleet::crash_subject> crash_subjects() const;
    void note_crash_subjects(base::time_point now);
    /// @brief Refuses the request if it, or a part of its prompt, is quarantined.
    /// @return Whether it is.
    bool refuse_quarantined(base::time_point now);
    [[nodiscard]] bool is_watched_for_crashes(const attempt& watched) const;
    void note_target_run();
    void note_answer_progress(base::time_point now);
    void note_answer_end(base::time_point now);
    void note_survival(base::time_point now);
    /// @brief Records that the connection of a request broke, or that its answer ended early.
    void note_broken_answer(const attempt& broken, base::time_point now);

    /// @brief Takes one retry of the request's service from the budget and logs the decision.
    [[nodiscard]] bool take_retry(base::time_point now);

    // After an attempt.
    void end_attempt(fleet::attempt_end end, fleet::target_outcome outcome, std::string_view detail,
                     base::time_point now);
    /// @brief Tells the pool and the coordinator that a request is no longer at its target.
    void release(attempt& ended, base::time_point now);
    /// @brief Records the outcome of an attempt and logs an ejection.
    void report_outcome(attempt& ended, fleet::target_outcome outcome, std::string_view detail,
                        base::time_point now);
    void execute(fleet::next_step step, std::string_view detail, base::time_point now);
    void pass_buffered_response(base::time_point now);
    void refuse(const refusal& cause, base::time_point now);
    void finish(std::string_view outcome, int status, std::string_view reason,
                base::time_point now);
    void begin_response(const message_head& head, std::optional<std::uint64_t> length);

    [[nodiscard]] bool is_stream() const;
    [[nodiscard]] base::milliseconds time_left(base::time_point now) const;
    /// @brief The retry delay to send to the caller, given the expected wait.
    [[nodiscard]] base::milliseconds retry_delay(base::milliseconds wait,
                                                 fleet::retry_jitter spread) const;
    /// @brief Time until the caller should return when all usable targets of this region asked for
    /// a wait or limit their rate; none when one of them does neither.
    [[nodiscard]] std::optional<base::milliseconds> wait_for_targets(base::time_point now);
    /// @brief The same for other regions whose targets limit their rate; none without such regions.
    [[nodiscard]] std::optional<base::milliseconds> wait_for_limited_regions(base::time_point now);
    /// @brief The retry delay after a rejection: the shorter of the wait for this region's
    /// targets and the one that a refusing VM sent.
    [[nodiscard]] base::milliseconds retry_delay_after_rejection(base::time_point now);
    void log_attempt(const attempt& ended, std::string_view result, std::string_view detail,
                     base::time_point now) const;

    front_core& m_core;
    caller_connection* m_caller;
    incoming_request m_request;
    /// Counts the request's head and body.
    held_bytes m_held_request;
    std::optional<fleet::prompt> m_prompt;
    /// The same for all requests that repeat this one; 0 until the route is known.
    std::uint64_t m_fingerprint = 0;
    resolved_request m_resolved;
    base::time_point m_deadline{};
    std::unique_ptr<attempt> m_attempt;
    /// The attempt at a target that fell silent, while `m_attempt` is to replace it.
    std::unique_ptr<attempt> m_silent_attempt;
    fleet::attempt_history m_history;
    fleet::attempt_end m_last_end = fleet::attempt_end::not_sent;
    std::vector<fleet::target_name> m_tried_targets;
    /// A VM that has restarted is another one.
    std::vector<std::pair<std::string, base::incarnation>> m_tried_peers;
    /// The addresses of all attempts.
    std::vector<std::string> m_attempted_addresses;
    /// The shortest retry delay that a VM of another region sent.
    std::optional<base::milliseconds> m_peer_retry_after;
    /// The expected end of a stream that was refused because of it.
    std::optional<base::milliseconds> m_expected_end;
    std::string m_last_event_id;
    /// The version at which the stream goes on; none while any will do.
    std::optional<fleet::version_hash> m_version;
    /// The stream that the caller takes up.
    fleet::stream_hash m_stream;
    bool m_is_take_up = false;
    /// When the caller was sent the last event.
    base::time_point m_last_event_at{};
    /// When to look again for a target of a stream that has begun and has none.
    std::optional<base::time_point> m_search_at;
    /// The status and media type of the response that the caller has a part of.
    int m_begun_status = 0;
    std::string m_begun_media_type;
    base::time_point m_response_begun_at{};
    /// The shortest expected wait in any region; set if it was too long.
    std::optional<base::milliseconds> m_shortest_wait;
    /// When the refused caller was told to return, if the rate of its service is known.
    std::optional<scheduling::return_time> m_return;
    bool m_is_caller_retry = false;
    /// Whether the silence of the current target was reported to the pool.
    bool m_silence_reported = false;
    /// Whether the next attempt was not yet taken from the retry budget.
    bool m_is_retry_due = false;
    /// Whether the log tells that the stream waits for a target.
    bool m_wait_logged = false;
    bool m_charged = false;
    /// What the request cost at this VM, for a refund.
    fleet::quota_charge m_quota_charge;
    std::uint64_t m_refunded_units = 0;
    bool m_response_begun = false;
    bool m_reading_paused = false;
    bool m_is_finished = false;
    /// Whether a placement query to the region's coordinator is unanswered.
    bool m_is_awaiting_placement = false;
    /// How the latest attempt's target was chosen, for the log.
    std::string_view m_placed_by = "self";
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_EXCHANGE_HPP
