#ifndef CHICORYLINK_MEMBERSHIP_TABLE_HPP
#define CHICORYLINK_MEMBERSHIP_TABLE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/effects.hpp"
#include "chicorylink/membership/identity.hpp"
#include "chicorylink/membership/message.hpp"
#include "chicorylink/membership/peer_record.hpp"
#include "chicorylink/membership/platform_list.hpp"
#include "chicorylink/membership/region_summary.hpp"
#include "chicorylink/membership/timing.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace chicorylink::membership {

/// @brief The membership table: the VMs known from the platform's list and from peers.
///
/// Does no I/O: each call returns the messages to send. Not thread-safe; its owner calls it under
/// one lock and publishes `current` as a shared snapshot. The proofs require two things of the
/// owner: the peer listener is open before the first message is sent, and is closed only when the
/// process ends.
class table {
public:
    table(identity self, timing terms, base::time_point now);

    /// @brief Must be called every 100 to 250 ms: heartbeats, suspicion, summaries, probes.
    [[nodiscard]] effects tick(base::time_point now);

    /// @brief Handles a message that arrived over an authenticated peer link.
    [[nodiscard]] effects receive(const message& received, base::time_point now);

    /// @brief Handles a response with the platform's VM list.
    /// @param requested_at When the request was sent; the list is at least as old as this.
    [[nodiscard]] effects on_list(const platform_list& list, base::time_point requested_at,
                                  base::time_point now);

    /// @brief Handles a refused connection to the VM's peer address.
    /// @param process The process expected there when the connection attempt started.
    [[nodiscard]] effects connection_refused(base::vm_id vm, base::incarnation process,
                                             base::time_point now);

    /// @brief Marks this VM as leaving, so that it takes no new work; notifies others at once.
    [[nodiscard]] effects set_leaving(base::time_point now);

    void set_load(load_summary load) { m_load = load; }
    void set_config_known(base::config_version version) { m_config_known = version; }
    void set_reaches_service(bool reaches) { m_reaches_service = reaches; }
    /// @brief Sets the bytes piggybacked on the next heartbeats; empty content removes the slot.
    void set_payload(payload content);
    /// @brief Returns the last payload of a VM in a slot; empty when there is none.
    [[nodiscard]] std::span<const std::uint8_t> payload_of(base::vm_id vm, std::uint8_t slot) const;

    /// @brief Whether others consider this process gone, so that it must continue under a new
    /// incarnation: the owner drops its shares and tickets and calls `renew`.
    [[nodiscard]] bool must_renew() const { return m_must_renew; }
    void renew(base::incarnation process, std::uint64_t started_ms, base::time_point now);

    [[nodiscard]] view current(base::time_point now) const;
    [[nodiscard]] const identity& self() const { return m_self; }
    [[nodiscard]] base::vm_id self_id() const { return m_self_id; }
    /// @brief Whether the newest list was created recently.
    [[nodiscard]] bool list_is_fresh(base::time_point now) const;
    /// @brief The last known process of a VM; zero when there is none.
    [[nodiscard]] base::incarnation process_of(base::vm_id vm) const;

private:
    struct remote_data_center {
        base::region_id region;
        std::uint32_t live_vms = 0;
        load_summary load;
        base::time_point heard_at{};
    };

    /// Incoming messages.
    [[nodiscard]] peer_record* accept(const sender& from,
                                      const std::optional<identity>& sender_identity,
                                      base::time_point now, effects& out);
    void handle(const heartbeat& received, base::time_point now, effects& out);
    void handle(const summary& received, base::time_point now, effects& out);
    void handle(const relay& received, base::time_point now, effects& out);
    void handle(const probe& received, base::time_point now, effects& out);
    void handle(const probe_ack& received, base::time_point now, effects& out);
    void handle(const silence_query& received, base::time_point now, effects& out);
    void handle(const silence_answer& received, base::time_point now, effects& out);
    void handle(const gone_notice& received, base::time_point now, effects& out);
    void record_contact(peer_record& peer, base::time_point now, effects& out);
    void adopt_process(peer_record& peer, base::incarnation process, std::uint64_t started_ms,
                       base::time_point now, effects& out);
    [[nodiscard]] peer_record* learn_process(const summary_row& row, base::time_point now,
                                             effects& out);
    void apply_row(const summary_row& row, base::time_point now, effects& out);
    void apply_notes(const std::vector<gone_note>& notes, base::time_point now, effects& out);
    void mark_gone(peer_record& peer, gone_proof proof, base::time_point now, effects& out);
    void acknowledge(peer_record& peer, std::uint32_t sequence, std::uint32_t process_bits);

    /// The platform's list.
    void apply_listed(const listed_vm& listed, base::time_point now, effects& out);
    void mark_unlisted(const platform_list& list, base::time_point now);
    void allow_acting_alone(std::size_t size, std::uint64_t lists);
    [[nodiscard]] std::size_t region_size() const;

    /// Periodic work.
    void detect_pause(base::time_point now, effects& out);
    void report_suspicions(base::time_point now, effects& out);
    void send_heartbeats(base::time_point now, effects& out);
    void send_summaries(base::time_point now, effects& out);
    void send_relay(base::time_point now, effects& out);
    void send_probes(base::time_point now, effects& out);
    void check_silent_peers(base::time_point now, effects& out);
    void confirm_silence(peer_record& peer, base::time_point now, effects& out);
    void remove_expired(base::time_point now);
    [[nodiscard]] heartbeat heartbeat_for(const peer_record& peer, base::time_point now) const;
    [[nodiscard]] std::vector<base::vm_id> summary_receivers(const view& snapshot) const;
    [[nodiscard]] summary own_summary(const view& snapshot) const;
    [[nodiscard]] relay own_relay(base::time_point now) const;
    [[nodiscard]] std::vector<gone_note> recent_gone(base::time_point now) const;

    /// The intervals grow with the size of the data center and the number of data centers, to bound
    /// the traffic of one VM.
    void count_mesh_peers();
    [[nodiscard]] base::milliseconds heartbeat_interval() const;
    [[nodiscard]] base::milliseconds suspicion_time() const;
    [[nodiscard]] base::milliseconds summary_interval() const;

    /// State.
    void refresh_permission(base::time_point now, effects& out);
    [[nodiscard]] member_state state_of(const peer_record& peer, base::time_point now) const;
    [[nodiscard]] bool is_silent(const peer_record& peer, base::time_point now) const;
    [[nodiscard]] bool same_data_center(const peer_record& peer) const;
    [[nodiscard]] bool same_region(const peer_record& peer) const;
    [[nodiscard]] sender self_sender() const;
    [[nodiscard]] peer_record* find(base::vm_id vm);
    /// Whether this VM receives summaries directly from delegates of a data center.
    [[nodiscard]] bool has_direct_summaries(base::data_center_id center,
                                            base::time_point now) const;
    [[nodiscard]] std::vector<region_summary> region_summaries() const;

    identity m_self;
    base::vm_id m_self_id;
    timing m_timing;
    base::time_point m_started;
    std::map<base::vm_id, peer_record> m_peers;
    std::map<base::vm_id, std::vector<payload>> m_payloads;
    std::vector<payload> m_own_payloads;
    /// Processes of unknown VMs that must never be acknowledged.
    std::map<base::vm_id, base::incarnation> m_fenced_unknown;
    load_summary m_load;
    base::config_version m_config_known;
    bool m_reaches_service = true;
    bool m_leaving = false;
    bool m_must_renew = false;

    std::uint64_t m_list_sequence = 0;
    bool m_listed = false;
    std::optional<base::time_point> m_list_created_at;
    std::optional<base::time_point> m_list_proof;
    std::uint16_t m_reported_region_size = 0;

    base::time_point m_member_until{};
    std::optional<base::time_point> m_lapsed_at;

    std::int64_t m_mesh_peers = 0;
    std::uint32_t m_sequence = 0;
    /// Send times of the last messages that request an acknowledgement, by sequence.
    std::deque<std::pair<std::uint32_t, base::time_point>> m_sent;
    base::time_point m_last_tick;
    base::time_point m_resumed_at{};
    base::time_point m_next_heartbeat;
    base::time_point m_next_summary;
    base::time_point m_next_relay;
    base::time_point m_next_probe;
    base::time_point m_next_pause_decay;
    /// Recent pauses of this process; each lengthens the suspicion timeout.
    int m_recent_pauses = 0;
    std::uint64_t m_summary_round = 0;
    std::vector<summary_row> m_last_rows;
    std::vector<base::vm_id> m_last_receivers;
    std::map<base::data_center_id, remote_data_center> m_data_centers;
    std::map<base::region_id, region_summary> m_relayed;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_TABLE_HPP
