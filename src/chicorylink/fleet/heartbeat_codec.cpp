#include "chicorylink/fleet/heartbeat_codec.hpp"

#include "chicorylink/fleet/fleet_heartbeat_generated.h"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

std::string text_of(const flatbuffers::String* value)
{
    return value == nullptr ? std::string{} : value->str();
}

member_state state_of(std::uint8_t value)
{
    return static_cast<member_state>(
        std::min<std::uint8_t>(value, static_cast<std::uint8_t>(member_state::leaving)));
}

void read_lists(const codec::Heartbeat& from, heartbeat& to)
{
    if (const auto* known = from.known()) {
        for (const auto* ip : *known) {
            to.known.push_back(text_of(ip));
        }
    }
    if (const auto* usage = from.usage()) {
        for (const auto* entry : *usage) {
            to.usage.push_back({base::team_id{entry->team()}, entry->admitted()});
        }
    }
    if (const auto* targets = from.targets()) {
        for (const auto* entry : *targets) {
            to.targets.push_back(
                {base::target_id{entry->target()}, entry->in_flight(), entry->unread_tokens()});
        }
    }
    if (const auto* outlook = from.outlook()) {
        for (const auto* entry : *outlook) {
            to.outlook.push_back(
                {entry->service(), entry->usable_targets(), base::milliseconds{entry->wait_ms()}});
        }
    }
}

} // namespace

std::vector<std::uint8_t> encode(const heartbeat& message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<codec::TeamUsage> usage;
    for (const auto& entry : message.usage) {
        usage.emplace_back(entry.team.value(), entry.admitted);
    }
    std::vector<codec::TargetUse> targets;
    for (const auto& entry : message.targets) {
        targets.emplace_back(entry.target.value(), entry.in_flight, entry.unread_tokens);
    }
    std::vector<codec::ServiceOutlook> outlook;
    for (const auto& entry : message.outlook) {
        outlook.emplace_back(entry.service, entry.usable_targets,
                             static_cast<std::uint32_t>(entry.wait.count()));
    }
    const auto vm = builder.CreateString(message.from.name.text());
    const auto ip = builder.CreateString(message.from.ip);
    const auto region = builder.CreateString(message.from.region.text());
    const auto data_center = builder.CreateString(message.from.data_center.text());
    const auto known = builder.CreateVectorOfStrings(message.known);
    const auto usage_list = builder.CreateVectorOfStructs(usage);
    const auto target_list = builder.CreateVectorOfStructs(targets);
    const auto outlook_list = builder.CreateVectorOfStructs(outlook);
    const auto age = message.confirmed_age ? message.confirmed_age->count() : -1;
    const auto root = codec::CreateHeartbeat(
        builder, vm, ip, region, data_center, message.from.run.value(),
        static_cast<std::uint8_t>(message.state), message.sequence, message.sent_ms,
        message.echo_ms, static_cast<std::uint64_t>(message.echo_held.count()),
        message.version.value(), age, known, usage_list, target_list, outlook_list);
    codec::FinishHeartbeatBuffer(builder, root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

base::result<heartbeat> decode_heartbeat(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!codec::VerifyHeartbeatBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "datagram is not a heartbeat",
                          "check that only VMs of this system send to the peer port");
    }
    const auto* from = codec::GetHeartbeat(bytes.data());
    heartbeat message;
    message.from.name = vm_name{text_of(from->vm())};
    message.from.ip = text_of(from->ip());
    message.from.region = region_name{text_of(from->region())};
    message.from.data_center = data_center_name{text_of(from->data_center())};
    message.from.run = base::incarnation{from->run()};
    message.state = state_of(from->state());
    message.sequence = from->sequence();
    message.sent_ms = from->sent_ms();
    message.echo_ms = from->echo_ms();
    message.echo_held = base::milliseconds{from->echo_held_ms()};
    message.version = base::config_version{from->version()};
    if (from->confirmed_age_ms() >= 0) {
        message.confirmed_age = base::milliseconds{from->confirmed_age_ms()};
    }
    read_lists(*from, message);
    if (message.from.name.empty() || message.from.ip.empty()) {
        return base::fail(base::error_kind::invalid_message, "heartbeat names no sender",
                          "check that all VMs run the same version");
    }
    return message;
}

} // namespace chicorylink::fleet
