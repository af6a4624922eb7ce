#include "chicorylink/membership/codec.hpp"

#include "chicorylink/membership/membership_generated.h"

#include <algorithm>

namespace chicorylink::membership {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

fbs::Load pack(const load_summary& load)
{
    return {load.running, load.waiting};
}

load_summary unpack(const fbs::Load* load)
{
    if (load == nullptr) {
        return {};
    }
    return {.running = load->running(), .waiting = load->waiting()};
}

fbs::GoneNote pack(const gone_note& note)
{
    return {note.vm.value(), note.process.value(), static_cast<std::uint8_t>(note.proof)};
}

gone_note unpack(const fbs::GoneNote& note)
{
    const auto proof = std::min(note.proof(), static_cast<std::uint8_t>(gone_proof::silent));
    return {.vm = base::vm_id{note.vm()},
            .process = base::incarnation{note.process()},
            .proof = static_cast<gone_proof>(proof)};
}

fbs::SummaryRow pack(const summary_row& row)
{
    return {row.vm.value(), row.process.value(), static_cast<std::uint8_t>(row.state)};
}

summary_row unpack(const fbs::SummaryRow& row)
{
    const auto state = std::min(row.state(), static_cast<std::uint8_t>(member_state::gone));
    return {.vm = base::vm_id{row.vm()},
            .process = base::incarnation{row.process()},
            .state = static_cast<member_state>(state)};
}

fbs::RelayRow pack(const relay_row& row)
{
    return {row.region.value(), pack(row.load), row.live_vms};
}

relay_row unpack(const fbs::RelayRow& row)
{
    return {.region = base::region_id{row.region()},
            .live_vms = row.live_vms(),
            .load = unpack(&row.load())};
}

/// Packs a list; an empty one takes no space.
template <class Packed, class Value>
flatbuffers::Offset<flatbuffers::Vector<const Packed*>> pack_all(builder& out,
                                                                 const std::vector<Value>& values)
{
    if (values.empty()) {
        return 0;
    }
    std::vector<Packed> packed;
    packed.reserve(values.size());
    for (const auto& value : values) {
        packed.push_back(pack(value));
    }
    return out.CreateVectorOfStructs(packed);
}

template <class Value, class Packed>
std::vector<Value> unpack_all(const flatbuffers::Vector<const Packed*>* packed)
{
    std::vector<Value> values;
    if (packed == nullptr) {
        return values;
    }
    values.reserve(packed->size());
    for (const auto* value : *packed) {
        values.push_back(unpack(*value));
    }
    return values;
}

flatbuffers::Offset<fbs::Identity> pack(builder& out, const std::optional<identity>& peer)
{
    if (!peer) {
        return 0;
    }
    const auto name = out.CreateString(peer->name);
    const auto callers = out.CreateString(peer->caller_address);
    const auto peers = out.CreateString(peer->peer_address);
    return fbs::CreateIdentity(out, name, peer->region.value(), peer->data_center.value(), callers,
                               peers);
}

std::optional<identity> unpack(const fbs::Identity* peer, const sender& from)
{
    if (peer == nullptr) {
        return std::nullopt;
    }
    return identity{.name = peer->name()->str(),
                    .region = base::region_id{peer->region()},
                    .data_center = base::data_center_id{peer->data_center()},
                    .caller_address = peer->caller_address()->str(),
                    .peer_address = peer->peer_address()->str(),
                    .process = from.process,
                    .started_ms = from.started_ms};
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fbs::Payload>>>
pack(builder& out, const std::vector<payload>& payloads)
{
    if (payloads.empty()) {
        return 0;
    }
    std::vector<flatbuffers::Offset<fbs::Payload>> packed;
    packed.reserve(payloads.size());
    for (const auto& each : payloads) {
        packed.push_back(fbs::CreatePayload(out, each.slot, out.CreateVector(each.content)));
    }
    return out.CreateVector(packed);
}

std::vector<payload> unpack(const flatbuffers::Vector<flatbuffers::Offset<fbs::Payload>>* payloads)
{
    std::vector<payload> values;
    if (payloads == nullptr) {
        return values;
    }
    values.reserve(payloads->size());
    for (const auto* each : *payloads) {
        const auto* content = each->content();
        values.push_back({.slot = each->slot(), .content = {content->begin(), content->end()}});
    }
    return values;
}

struct packed_body {
    fbs::Body kind = fbs::Body::NONE;
    flatbuffers::Offset<void> place;
};

packed_body pack_body(builder& out, const heartbeat& value)
{
    const auto introduction = pack(out, value.introduction);
    const auto gone = pack_all<fbs::GoneNote>(out, value.gone);
    const auto payloads = pack(out, value.payloads);
    const fbs::Beat beat(value.config_known.value(), value.list_sequence, value.sequence,
                         value.ack_sequence, value.ack_process_bits, pack(value.load),
                         value.region_size, value.leaving, value.reaches_service);
    return {fbs::Body::Heartbeat,
            fbs::CreateHeartbeat(out, &beat, introduction, gone, payloads).Union()};
}

packed_body pack_body(builder& out, const summary& value)
{
    const auto rows = pack_all<fbs::SummaryRow>(out, value.rows);
    const auto gone = pack_all<fbs::GoneNote>(out, value.gone);
    const auto load = pack(value.load);
    return {fbs::Body::Summary,
            fbs::CreateSummary(out, value.region.value(), value.data_center.value(),
                               value.config_known.value(), value.live_vms, &load, value.complete,
                               rows, gone)
                .Union()};
}

packed_body pack_body(builder& out, const relay& value)
{
    const auto regions = pack_all<fbs::RelayRow>(out, value.regions);
    const auto exceptions = pack_all<fbs::SummaryRow>(out, value.exceptions);
    const auto gone = pack_all<fbs::GoneNote>(out, value.gone);
    return {fbs::Body::Relay,
            fbs::CreateRelay(out, value.config_known.value(), regions, exceptions, gone).Union()};
}

packed_body pack_body(builder& out, const probe& value)
{
    return {fbs::Body::Probe,
            fbs::CreateProbe(out, value.sequence, value.list_sequence, value.region_size).Union()};
}

packed_body pack_body(builder& out, const probe_ack& value)
{
    return {fbs::Body::ProbeAck,
            fbs::CreateProbeAck(out, value.sequence, value.acked_bits).Union()};
}

packed_body pack_body(builder& out, const silence_query& value)
{
    return {fbs::Body::SilenceQuery,
            fbs::CreateSilenceQuery(out, value.about.value(), value.process.value()).Union()};
}

packed_body pack_body(builder& out, const silence_answer& value)
{
    return {fbs::Body::SilenceAnswer,
            fbs::CreateSilenceAnswer(out, value.about.value(), value.process.value(), value.silent)
                .Union()};
}

packed_body pack_body(builder& out, const gone_notice& value)
{
    return {fbs::Body::GoneNotice,
            fbs::CreateGoneNotice(out, pack_all<fbs::GoneNote>(out, value.gone)).Union()};
}

heartbeat unpack_body(const fbs::Heartbeat& value, const sender& from)
{
    const auto& beat = *value.beat();
    return {.from = from,
            .sequence = beat.sequence(),
            .ack_sequence = beat.ack_sequence(),
            .ack_process_bits = beat.ack_process_bits(),
            .config_known = base::config_version{beat.config_known()},
            .list_sequence = beat.list_sequence(),
            .region_size = beat.region_size(),
            .leaving = beat.leaving(),
            .reaches_service = beat.reaches_service(),
            .load = unpack(&beat.load()),
            .introduction = unpack(value.introduction(), from),
            .gone = unpack_all<gone_note>(value.gone()),
            .payloads = unpack(value.payloads())};
}

summary unpack_body(const fbs::Summary& value, const sender& from)
{
    return {.from = from,
            .region = base::region_id{value.region()},
            .data_center = base::data_center_id{value.data_center()},
            .config_known = base::config_version{value.config_known()},
            .live_vms = value.live_vms(),
            .load = unpack(value.load()),
            .complete = value.complete(),
            .rows = unpack_all<summary_row>(value.rows()),
            .gone = unpack_all<gone_note>(value.gone())};
}

relay unpack_body(const fbs::Relay& value, const sender& from)
{
    return {.from = from,
            .config_known = base::config_version{value.config_known()},
            .regions = unpack_all<relay_row>(value.regions()),
            .exceptions = unpack_all<summary_row>(value.exceptions()),
            .gone = unpack_all<gone_note>(value.gone())};
}

message unpack_message(const fbs::Message& value)
{
    const sender from{.vm = base::vm_id{value.from()->vm()},
                      .process = base::incarnation{value.from()->process()},
                      .started_ms = value.from()->started_ms()};
    switch (value.body_type()) {
    case fbs::Body::Heartbeat:
        return unpack_body(*value.body_as_Heartbeat(), from);
    case fbs::Body::Summary:
        return unpack_body(*value.body_as_Summary(), from);
    case fbs::Body::Relay:
        return unpack_body(*value.body_as_Relay(), from);
    case fbs::Body::Probe:
        return probe{from, value.body_as_Probe()->sequence(),
                     value.body_as_Probe()->list_sequence(), value.body_as_Probe()->region_size()};
    case fbs::Body::ProbeAck:
        return probe_ack{from, value.body_as_ProbeAck()->sequence(),
                         value.body_as_ProbeAck()->acked_bits()};
    case fbs::Body::SilenceQuery:
        return silence_query{from, base::vm_id{value.body_as_SilenceQuery()->about()},
                             base::incarnation{value.body_as_SilenceQuery()->process()}};
    case fbs::Body::SilenceAnswer:
        return silence_answer{from, base::vm_id{value.body_as_SilenceAnswer()->about()},
                              base::incarnation{value.body_as_SilenceAnswer()->process()},
                              value.body_as_SilenceAnswer()->silent()};
    case fbs::Body::GoneNotice:
    case fbs::Body::NONE:
        break;
    }
    return gone_notice{from, unpack_all<gone_note>(value.body_as_GoneNotice()->gone())};
}

} // namespace

const sender& sender_of(const message& from)
{
    return std::visit([](const auto& body) -> const sender& { return body.from; }, from);
}

std::vector<std::uint8_t> encode(const message& value)
{
    builder out;
    const auto body =
        std::visit([&out](const auto& content) { return pack_body(out, content); }, value);
    const auto& source = sender_of(value);
    const fbs::Sender from(source.vm.value(), source.process.value(), source.started_ms);
    out.Finish(fbs::CreateMessage(out, &from, body.kind, body.place));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

base::result<message> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (bytes.empty() || !fbs::VerifyMessageBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "a membership message is malformed",
                          "check that all VMs run compatible releases");
    }
    const auto& value = *fbs::GetMessage(bytes.data());
    if (value.body_type() == fbs::Body::NONE || value.body_type() > fbs::Body::MAX) {
        return base::fail(base::error_kind::invalid_message,
                          "a membership message is of an unknown kind",
                          "check that all VMs run compatible releases");
    }
    return unpack_message(value);
}

} // namespace chicorylink::membership
