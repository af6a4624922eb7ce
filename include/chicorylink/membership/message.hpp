#ifndef CHICORYLINK_MEMBERSHIP_MESSAGE_HPP
#define CHICORYLINK_MEMBERSHIP_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/identity.hpp"
#include "chicorylink/membership/load_summary.hpp"
#include "chicorylink/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace chicorylink::membership {

/// @brief The process that sends a message; part of every message.
struct sender {
    base::vm_id vm;
    base::incarnation process;
    std::uint64_t started_ms = 0;
};

/// @brief The low 32 bits of an incarnation; enough to distinguish the few processes of one VM.
[[nodiscard]] constexpr std::uint32_t low_bits(base::incarnation process)
{
    return static_cast<std::uint32_t>(process.value());
}

/// @brief Reports to other VMs that a process is gone.
struct gone_note {
    base::vm_id vm;
    base::incarnation process;
    gone_proof proof = gone_proof::none;
};

/// @brief Bytes of another module, piggybacked on a heartbeat.
struct payload {
    /// Which module; see `payload_slot`.
    std::uint8_t slot = 0;
    std::vector<std::uint8_t> content;
};

/// @brief Sent to each VM of the data center at each heartbeat interval.
struct heartbeat {
    sender from;
    /// Increases with each round of heartbeats.
    std::uint32_t sequence = 0;
    /// The last sequence that the receiver sent to this process, and by which of its processes.
    std::uint32_t ack_sequence = 0;
    std::uint32_t ack_process_bits = 0;
    base::config_version config_known;
    std::uint64_t list_sequence = 0;
    /// Number of VMs in the sender's region according to its list.
    std::uint16_t region_size = 0;
    bool leaving = false;
    /// Whether its last call of the configuration service was answered.
    bool reaches_service = false;
    load_summary load;
    /// The sender's identity; included while the receiver does not acknowledge.
    std::optional<identity> introduction;
    std::vector<gone_note> gone;
    std::vector<payload> payloads;
};

/// @brief One VM in a summary.
struct summary_row {
    base::vm_id vm;
    base::incarnation process;
    member_state state = member_state::live;
};

/// @brief Sent by a delegate to delegates of other data centers: the state of its data center.
struct summary {
    sender from;
    base::region_id region;
    base::data_center_id data_center;
    base::config_version config_known;
    std::uint16_t live_vms = 0;
    load_summary load;
    /// Whether `rows` holds all VMs of the data center; otherwise the rows are unchanged.
    bool complete = false;
    std::vector<summary_row> rows;
    std::vector<gone_note> gone;
};

/// @brief One region in a relay.
struct relay_row {
    base::region_id region;
    std::uint16_t live_vms = 0;
    load_summary load;
};

/// @brief Sent by a delegate to its own data center: the state of the other data centers.
struct relay {
    sender from;
    base::config_version config_known;
    std::vector<relay_row> regions;
    /// VMs of other data centers that are not live, although the platform's list may show them.
    std::vector<summary_row> exceptions;
    std::vector<gone_note> gone;
};

/// @brief Asks a VM of the region outside the data center to acknowledge the sender.
struct probe {
    sender from;
    std::uint32_t sequence = 0;
    std::uint64_t list_sequence = 0;
    std::uint16_t region_size = 0;
};

/// @brief Acknowledges a probe.
struct probe_ack {
    sender from;
    std::uint32_t sequence = 0;
    /// Low bits of the incarnation that sent the probe.
    std::uint32_t acked_bits = 0;
};

/// @brief Asks how long a process has been silent to the receiver.
struct silence_query {
    sender from;
    base::vm_id about;
    base::incarnation process;
};

/// @brief Answers a silence query. After an answer of `silent`, the sender never acknowledges the
/// process again.
struct silence_answer {
    sender from;
    base::vm_id about;
    base::incarnation process;
    bool silent = false;
};

/// @brief Notifies a process or other VMs that a process is considered gone.
struct gone_notice {
    sender from;
    std::vector<gone_note> gone;
};

using message = std::variant<heartbeat, summary, relay, probe, probe_ack, silence_query,
                             silence_answer, gone_notice>;

/// @brief Returns the sender of a message of any kind.
[[nodiscard]] const sender& sender_of(const message& from);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_MESSAGE_HPP
