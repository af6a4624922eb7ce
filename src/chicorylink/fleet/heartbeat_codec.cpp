#include "chicorylink/fleet/heartbeat_codec.hpp"

#include "chicorylink/fleet/codec_crashes.hpp"
#include "chicorylink/fleet/codec_notices.hpp"
#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/fleet_heartbeat_generated.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace chicorylink::fleet {
namespace {

std::string text_of(const flatbuffers::String* value)
{
    return value == nullptr ? std::string{} : value->str();
}

std::string ip_text(std::uint32_t bits)
{
    const in_addr address{htonl(bits)};
    std::array<char, INET_ADDRSTRLEN> text{};
    return ::inet_ntop(AF_INET, &address, text.data(), text.size()) == nullptr ? std::string{}
                                                                               : text.data();
}

std::uint32_t ip_bits(const std::string& ip)
{
    in_addr address{};
    return ::inet_pton(AF_INET, ip.c_str(), &address) == 1 ? ntohl(address.s_addr) : 0;
}

member_state state_of(std::uint8_t value)
{
    return static_cast<member_state>(
        std::min<std::uint8_t>(value, static_cast<std::uint8_t>(member_state::leaving)));
}

/// An age on the wire; negative when there is none.
std::optional<base::milliseconds> read_age(std::int64_t ms)
{
    return ms < 0 ? std::nullopt : std::optional{base::milliseconds{ms}};
}

std::vector<team_usage> read_usage(const flatbuffers::Vector<const codec::TeamUsage*>* from)
{
    std::vector<team_usage> usage;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            usage.push_back({base::team_id{entry->team()}, entry->admitted()});
        }
    }
    return usage;
}

std::vector<target_use> read_targets(const flatbuffers::Vector<const codec::TargetUse*>* from)
{
    std::vector<target_use> targets;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            targets.push_back({base::target_id{entry->target()}, entry->in_flight(),
                               entry->unread_tokens(), entry->running(), entry->waiting(),
                               base::milliseconds{entry->load_age_ms()}});
        }
    }
    return targets;
}

region_digest read_digest(const codec::RegionDigest& from)
{
    region_digest digest;
    digest.region = region_name{text_of(from.region())};
    digest.reporter = base::incarnation{from.reporter()};
    digest.age = base::milliseconds{from.age_ms()};
    digest.round_trip = base::milliseconds{from.round_trip_ms()};
    digest.usage = read_usage(from.usage());
    digest.targets = read_targets(from.targets());
    if (from.members() != nullptr) {
        for (const auto* entry : *from.members()) {
            digest.members.push_back({ip_text(entry->ip()), base::incarnation{entry->run()},
                                      vm_capacity{entry->capacity()}, state_of(entry->state()),
                                      base::milliseconds{entry->age_ms()},
                                      data_center_hash{entry->data_center()}});
        }
    }
    if (from.outlook() != nullptr) {
        for (const auto* entry : *from.outlook()) {
            digest.outlook.push_back(
                {entry->service(), entry->usable_targets(), base::milliseconds{entry->wait_ms()}});
        }
    }
    digest.notices = read_notices(from.notices());
    digest.limits = read_limits(from.limits());
    if (from.limited_services() != nullptr) {
        for (const auto* entry : *from.limited_services()) {
            digest.limited_services.push_back({entry->service(), entry->per_second()});
        }
    }
    auto& [crashes, survivals, quarantines] = digest.crashes;
    constexpr auto part = crash_subject_kind::prompt_part;
    constexpr auto request = crash_subject_kind::whole_request;
    read_crashes(from.crashes(), part, crashes);
    read_crashes(from.request_crashes(), request, crashes);
    read_survivals(from.survivals(), part, survivals);
    read_survivals(from.request_survivals(), request, survivals);
    read_quarantines(from.quarantines(), part, quarantines);
    read_quarantines(from.request_quarantines(), request, quarantines);
    return digest;
}

using builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::Vector<const codec::TeamUsage*>>
write_usage(builder& to, const std::vector<team_usage>& usage)
{
    std::vector<codec::TeamUsage> list;
    list.reserve(usage.size());
    for (const auto& entry : usage) {
        list.emplace_back(entry.team.value(), entry.admitted);
    }
    return to.CreateVectorOfStructs(list);
}

flatbuffers::Offset<flatbuffers::Vector<const codec::TargetUse*>>
write_targets(builder& to, const std::vector<target_use>& targets)
{
    std::vector<codec::TargetUse> list;
    list.reserve(targets.size());
    for (const auto& entry : targets) {
        list.emplace_back(entry.target.value(), entry.in_flight, entry.unread_tokens, entry.running,
                          entry.waiting, to_wire_ms(entry.load_age));
    }
    return to.CreateVectorOfStructs(list);
}

flatbuffers::Offset<flatbuffers::Vector<const codec::ServiceRate*>>
write_rates(builder& to, const std::vector<service_rate>& rates)
{
    if (rates.empty()) {
        // An absent vector takes no bytes; most digests have none.
        return 0;
    }
    std::vector<codec::ServiceRate> list;
    list.reserve(rates.size());
    for (const auto& entry : rates) {
        list.emplace_back(entry.service, entry.per_second);
    }
    return to.CreateVectorOfStructs(list);
}

flatbuffers::Offset<codec::RegionDigest> write_digest(builder& to, const region_digest& digest)
{
    std::vector<codec::DigestMember> members;
    for (const auto& entry : digest.members) {
        members.emplace_back(entry.run.value(), ip_bits(entry.ip), to_wire_ms(entry.age),
                             entry.capacity.value(), static_cast<std::uint8_t>(entry.state),
                             entry.data_center.value());
    }
    std::vector<codec::ServiceOutlook> outlook;
    for (const auto& entry : digest.outlook) {
        outlook.emplace_back(entry.service, entry.usable_targets, to_wire_ms(entry.wait));
    }
    const auto region = to.CreateString(digest.region.text());
    const auto member_list = to.CreateVectorOfStructs(members);
    const auto usage = write_usage(to, digest.usage);
    const auto targets = write_targets(to, digest.targets);
    const auto outlook_list = to.CreateVectorOfStructs(outlook);
    const auto notices = write_notices<codec::TargetNotice>(to, digest.notices);
    const auto limits = write_limits<codec::TargetLimit>(to, digest.limits);
    const auto limited_services = write_rates(to, digest.limited_services);
    constexpr auto part = crash_subject_kind::prompt_part;
    constexpr auto request = crash_subject_kind::whole_request;
    const auto& [crashes, survivals, quarantines] = digest.crashes;
    const auto part_crashes = write_crashes<codec::PartCrash>(to, part, crashes);
    const auto part_survivals = write_survivals<codec::PartSurvival>(to, part, survivals);
    const auto part_quarantines = write_quarantines<codec::PartQuarantine>(to, part, quarantines);
    const auto request_crashes = write_crashes<codec::PartCrash>(to, request, crashes);
    const auto request_survivals = write_survivals<codec::PartSurvival>(to, request, survivals);
    const auto request_quarantines =
        write_quarantines<codec::PartQuarantine>(to, request, quarantines);
    return codec::CreateRegionDigest(
        to, region, digest.reporter.value(), to_wire_ms(digest.age), to_wire_ms(digest.round_trip),
        member_list, usage, targets, outlook_list, notices, limits, limited_services, part_crashes,
        part_survivals, part_quarantines, request_crashes, request_survivals, request_quarantines);
}

} // namespace

std::vector<std::uint8_t> encode(const heartbeat& message)
{
    builder to;
    std::vector<flatbuffers::Offset<codec::RegionDigest>> digests;
    for (const auto& digest : message.digests) {
        digests.push_back(write_digest(to, digest));
    }
    const auto vm = to.CreateString(message.from.name.text());
    const auto ip = to.CreateString(message.from.ip);
    const auto region = to.CreateString(message.from.region.text());
    const auto usage = write_usage(to, message.usage);
    const auto targets = write_targets(to, message.targets);
    const auto digest_list = to.CreateVector(digests);
    const auto ms_or_none = [](const std::optional<base::milliseconds>& age) {
        return age ? age->count() : -1;
    };
    const auto root = codec::CreateHeartbeat(
        to, vm, ip, region, message.from.run.value(), message.from.capacity.value(),
        static_cast<std::uint8_t>(message.state), message.sequence, message.sent_ms,
        message.echo_ms, to_wire_ms(message.echo_held), message.version.value(),
        ms_or_none(message.confirmed_age), message.wants_digests, message.items_revision.number,
        usage, targets, digest_list, message.data_center.value(),
        message.items_revision.era.value(), ms_or_none(message.contact_age),
        ms_or_none(message.failed_read_age), ms_or_none(message.targets_age));
    codec::FinishHeartbeatBuffer(to, root);
    return {to.GetBufferPointer(), to.GetBufferPointer() + to.GetSize()};
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
    message.from.run = base::incarnation{from->run()};
    message.from.capacity = vm_capacity{from->capacity()};
    message.data_center = data_center_hash{from->data_center()};
    message.state = state_of(from->state());
    message.sequence = from->sequence();
    message.sent_ms = from->sent_ms();
    message.echo_ms = from->echo_ms();
    message.echo_held = base::milliseconds{from->echo_held_ms()};
    message.version = base::config_version{from->version()};
    message.confirmed_age = read_age(from->confirmed_age_ms());
    message.targets_age = read_age(from->targets_age_ms());
    message.contact_age = read_age(from->contact_age_ms());
    message.failed_read_age = read_age(from->failed_read_age_ms());
    message.wants_digests = from->wants_digests();
    message.items_revision = {store_era{from->items_era()}, from->items_revision()};
    message.usage = read_usage(from->usage());
    message.targets = read_targets(from->targets());
    if (from->digests() != nullptr) {
        for (const auto* digest : *from->digests()) {
            message.digests.push_back(read_digest(*digest));
        }
    }
    if (message.from.name.empty() || message.from.ip.empty()) {
        return base::fail(base::error_kind::invalid_message, "heartbeat names no sender",
                          "check that all VMs run the same version");
    }
    return message;
}

} // namespace chicorylink::fleet
