#ifndef CHICORYLINK_FRONT_EXCHANGE_HPP
#define CHICORYLINK_FRONT_EXCHANGE_HPP

#include "chicorylink/base/event_stream.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/return_time.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/front/asked_request.hpp"
#include "chicorylink/front/placement_link.hpp"
#include "chicorylink/front/resolution.hpp"
#include "chicorylink/front/upstream_call.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

class caller_connection;
struct front_core;

/// @brief One request from its arrival to the end of its answer, over all its attempts.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(front_core& core, caller_connection& caller, asked_request asked);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    [[nodiscard]] const std::string& request_id() const { return m_asked.id; }

    void begin(base::time_point now);

    /// @brief The caller closed its connection: whatever works for it is stopped at once.
    void on_caller_gone(base::time_point now);

    /// @brief The caller took all bytes that were queued for it.
    void on_caller_drained();

    /// @brief Looks after the deadline and after a silent target.
    void tick(base::time_point now);

    /// @brief Ends the request because the process ends.
    void on_stop(base::time_point now);

private:
    /// What one attempt sends to and what it has shown so far.
    struct attempt {
        std::shared_ptr<upstream_call> call;
        /// Empty when the request went to another VM.
        fleet::target_name target;
        std::string address;
        fleet::region_name region;
        base::time_point sent_at{};
        /// The last progress: a head, a whole event of a stream, bytes of a plain answer.
        base::time_point last_sign{};
        std::uint32_t unread_tokens = 0;
        /// The same as expected when the request was sent.
        std::uint32_t unread_at_send = 0;
        base::milliseconds expected_wait{0};
        base::milliseconds expected_start{0};
        /// The place that the region's desk keeps; none when this VM chose the target itself.
        std::optional<reserved_place> place;
        std::optional<fleet::target_outcome> outcome;
        message_head head;
        /// Bytes that wait for the answer's end, or for a stream's first event.
        std::string held_body;
        /// Whether the target's work was taken back from the pool.
        bool released = false;
    };

    // Before an attempt.
    [[nodiscard]] std::optional<refusal> check(base::time_point now);
    [[nodiscard]] std::optional<refusal> check_quota(base::time_point now);
    void dispatch(base::time_point now);
    [[nodiscard]] fleet::placement_ask ask_for(base::time_point now) const;
    void on_advice(const placement_advice& advice);
    /// @brief Whether the target that a desk chose can be used from here.
    [[nodiscard]] std::optional<fleet::placement_choice>
    choice_of(const fleet::placement_answer& answer, base::time_point now) const;
    /// @brief Sends the request to this region's best target, to another region, or refuses it.
    void go_to(const std::optional<fleet::placement_choice>& here, base::time_point now);
    [[nodiscard]] std::optional<fleet::placement_choice> choose_here(base::time_point now) const;
    [[nodiscard]] std::vector<fleet::remote_region> choices_elsewhere(base::time_point now) const;
    /// @brief Whether a VM of another region may be sent this request.
    [[nodiscard]] bool may_ask_peer(const std::string& ip, const fleet::member& who,
                                    const fleet::region_name& region, base::time_point now) const;
    [[nodiscard]] bool has_peer_in(const fleet::region_name& region, base::time_point now) const;
    /// @brief The VM of another region that this request goes to.
    [[nodiscard]] std::string peer_in(const fleet::region_name& region, base::time_point now) const;
    [[nodiscard]] fleet::region_request needs(base::time_point now) const;
    /// @param region_ips The live VMs of this region, which share its targets.
    [[nodiscard]] bool may_use(const fleet::tracked_target& target,
                               const std::vector<std::string>& region_ips,
                               base::time_point now) const;
    void send_to_target(const fleet::placement_choice& choice, std::optional<reserved_place> place,
                        base::time_point now);
    void send_to_peer(const fleet::place& where, const std::string& ip, base::time_point now);
    void send(std::string bytes, base::milliseconds connect_limit, base::time_point now);
    void note_sent(base::time_point now);
    /// @brief Whether an earlier attempt went to the same address.
    [[nodiscard]] bool was_sent_to(const std::string& address) const;

    // While an attempt runs.
    /// @brief The call of the attempt that runs; null between two attempts.
    [[nodiscard]] upstream_call* running_call() const;
    void on_head(const message_head& head);
    void on_body(std::string_view piece);
    void on_answer_end();
    void on_failure(const upstream_failure& failure);
    void take_event(const base::stream_event& event, base::time_point now);
    void note_progress(base::time_point now);
    void pause_for_slow_caller();
    void read_load(const message_head& head, base::time_point now);
    /// @brief Takes in what the target asks for itself: that it leaves, or wants nothing for a
    /// while.
    void read_notices(const message_head& head, base::time_point now);
    /// @brief Whether an answer's head is that of a target and of this request.
    [[nodiscard]] bool is_targets_answer(const message_head& head) const;
    void flush_held(base::time_point now);

    /// @brief Whether a request whose target is silent can go on at another one.
    [[nodiscard]] bool can_move(base::time_point now) const;
    [[nodiscard]] bool is_silent(base::time_point now) const;

    // After an attempt.
    void end_attempt(fleet::attempt_end end, fleet::target_outcome outcome, std::string_view detail,
                     base::time_point now);
    void release(base::time_point now);
    void carry_out(fleet::next_step step, std::string_view detail, base::time_point now);
    void pass_held_answer(base::time_point now);
    void refuse(const refusal& why, base::time_point now);
    void finish(std::string_view outcome, int status, std::string_view reason,
                base::time_point now);
    void begin_answer(const message_head& head, std::optional<std::uint64_t> length);

    [[nodiscard]] bool is_stream() const;
    [[nodiscard]] base::milliseconds time_left(base::time_point now) const;
    /// @brief When the caller is told to come back after a wait.
    [[nodiscard]] base::milliseconds return_after(base::milliseconds wait,
                                                  fleet::return_spread spread) const;
    /// @brief When to come back to this region's targets or to those of a VM that refused.
    [[nodiscard]] base::milliseconds return_after_rejection(base::time_point now) const;
    void log_attempt(std::string_view result, std::string_view detail, base::time_point now) const;

    front_core& m_core;
    caller_connection* m_caller;
    asked_request m_asked;
    std::optional<fleet::prompt> m_prompt;
    resolved_request m_resolved;
    base::time_point m_deadline{};
    std::optional<attempt> m_attempt;
    fleet::attempt_history m_history;
    fleet::attempt_end m_last_end = fleet::attempt_end::not_sent;
    std::vector<fleet::target_name> m_tried;
    std::vector<std::string> m_tried_peers;
    /// The addresses of all attempts.
    std::vector<std::string> m_sent_to;
    /// The shortest time to come back that a VM of another region told.
    std::optional<base::milliseconds> m_peer_wait;
    base::event_stream m_events;
    std::string m_last_event_id;
    base::time_point m_first_at{};
    /// The shortest wait anywhere, when it was too long.
    std::optional<base::milliseconds> m_refused_wait;
    bool m_is_return = false;
    /// The silence of the present attempt's target was noted.
    bool m_silence_told = false;
    bool m_charged = false;
    bool m_answer_begun = false;
    bool m_paused = false;
    bool m_is_over = false;
    /// The region's desk was asked for a place and has not answered.
    bool m_is_asking = false;
    /// How the newest attempt's target was chosen, for the log.
    std::string_view m_placed_by = "self";
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_EXCHANGE_HPP
