#include "chicorylink/budget/codec.hpp"

#include "chicorylink/budget/budget_generated.h"

#include <optional>

namespace chicorylink::budget {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::size_t bits_per_byte = 8;
constexpr std::size_t slot_bytes = (slot_count + bits_per_byte - 1) / bits_per_byte;
/// Sums of larger values could overflow; no message of this module needs them.
constexpr std::int64_t max_amount = std::int64_t{1} << 60;
constexpr std::int64_t max_duration = std::int64_t{1} << 60;

struct encoded_body {
    wire::Body kind = wire::Body::NONE;
    Offset<void> body;
};

Offset<flatbuffers::Vector<std::uint8_t>> put(FlatBufferBuilder& into, const slot_set& slots)
{
    std::vector<std::uint8_t> packed(slot_bytes, 0);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (slots.test(slot)) {
            packed[slot / bits_per_byte] |= static_cast<std::uint8_t>(1U << (slot % bits_per_byte));
        }
    }
    return into.CreateVector(packed);
}

std::optional<slot_set> get_slots(const flatbuffers::Vector<std::uint8_t>* packed)
{
    if (packed == nullptr || packed->size() != slot_bytes) {
        return std::nullopt;
    }
    slot_set slots;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto octet = packed->Get(static_cast<flatbuffers::uoffset_t>(slot / bits_per_byte));
        slots.set(slot, (octet >> (slot % bits_per_byte) & 1U) != 0);
    }
    return slots;
}

using wire_held = flatbuffers::Vector<Offset<wire::HeldSplit>>;

Offset<wire_held> put(FlatBufferBuilder& into, const std::vector<held_split>& held)
{
    if (held.empty()) {
        return {};
    }
    std::vector<Offset<wire::HeldSplit>> entries;
    for (const auto& each : held) {
        std::vector<std::uint64_t> regions;
        for (const auto where : each.team_split.regions) {
            regions.push_back(where.value());
        }
        entries.push_back(wire::CreateHeldSplitDirect(
            into, each.team.value(), each.replaced_by.value(), &regions, each.team_split.parts));
    }
    return into.CreateVector(entries);
}

std::optional<std::vector<held_split>> get_held(const wire_held* entries)
{
    std::vector<held_split> held;
    for (flatbuffers::uoffset_t index = 0; entries != nullptr && index < entries->size(); ++index) {
        const auto* each = entries->Get(index);
        const auto parts = each->parts();
        if (parts == 0 || parts > stripe_width || stripe_width % parts != 0) {
            return std::nullopt;
        }
        held_split split{
            base::team_id{each->team()}, base::config_version{each->replaced_by()}, {{}, parts}};
        for (flatbuffers::uoffset_t region = 0;
             each->regions() != nullptr && region < each->regions()->size(); ++region) {
            split.team_split.regions.emplace_back(each->regions()->Get(region));
        }
        held.push_back(std::move(split));
    }
    return held;
}

bool is_amount(std::int64_t value)
{
    return value >= -max_amount && value <= max_amount;
}

bool is_duration(std::int64_t value)
{
    return value >= 0 && value <= max_duration;
}

encoded_body put_body(FlatBufferBuilder& into, const claim& msg)
{
    const auto slots = put(into, msg.slots);
    return {wire::Body::Claim, wire::CreateClaim(into, msg.round, slots).Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const claim_answer& msg)
{
    const auto denied = put(into, msg.denied);
    const auto held = put(into, msg.held);
    return {wire::Body::ClaimAnswer,
            wire::CreateClaimAnswer(into, msg.round, denied, msg.vouched, msg.version.value(), held)
                .Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const slot_transfer& msg)
{
    std::vector<wire::MovedSlot> slots;
    for (const auto& each : msg.slots) {
        slots.emplace_back(each.age.count(), each.quarantine.count(), each.slot);
    }
    std::vector<wire::MovedBalance> balances;
    for (const auto& each : msg.balances) {
        balances.emplace_back(each.team.value(), each.balance.value(), each.lent.value(),
                              each.slot);
    }
    const auto slot_entries = into.CreateVectorOfStructs(slots);
    const auto balance_entries = into.CreateVectorOfStructs(balances);
    const auto held = put(into, msg.held);
    return {wire::Body::SlotTransfer,
            wire::CreateSlotTransfer(into, msg.id, msg.round, msg.to.value(), msg.version.value(),
                                     slot_entries, balance_entries, held)
                .Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const transfer_answer& msg)
{
    return {wire::Body::TransferAnswer,
            wire::CreateTransferAnswer(into, msg.id, msg.accepted).Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const loan_request& msg)
{
    std::vector<wire::LoanRefund> refunds;
    for (const auto& each : msg.refunds) {
        refunds.emplace_back(each.stamp, each.amount.value());
    }
    const auto entries = refunds.empty() ? Offset<flatbuffers::Vector<const wire::LoanRefund*>>{}
                                         : into.CreateVectorOfStructs(refunds);
    return {wire::Body::LoanRequest,
            wire::CreateLoanRequest(into, msg.team.value(), msg.request, msg.need.value(),
                                    msg.want.value(), msg.holding.value(), msg.returned.value(),
                                    entries, msg.other_region, msg.level_per_mille)
                .Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const loan_grant& msg)
{
    return {wire::Body::LoanGrant,
            wire::CreateLoanGrant(into, msg.team.value(), msg.request, msg.amount.value(),
                                  msg.holding.value(), msg.left.value(), msg.stamp,
                                  msg.version.value())
                .Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const version_query& /*msg*/)
{
    return {wire::Body::VersionQuery, wire::CreateVersionQuery(into).Union()};
}

encoded_body put_body(FlatBufferBuilder& into, const version_answer& msg)
{
    return {wire::Body::VersionAnswer,
            wire::CreateVersionAnswer(into, msg.version.value()).Union()};
}

std::optional<message> get_body(const wire::Claim& from)
{
    const auto slots = get_slots(from.slots());
    return slots ? std::optional<message>{claim{from.round(), *slots}} : std::nullopt;
}

std::optional<message> get_body(const wire::ClaimAnswer& from)
{
    const auto denied = get_slots(from.denied());
    auto held = get_held(from.held());
    if (!denied || !held) {
        return std::nullopt;
    }
    return claim_answer{from.round(), *denied, from.vouched(), base::config_version{from.version()},
                        std::move(*held)};
}

std::optional<message> get_body(const wire::SlotTransfer& from)
{
    auto held = get_held(from.held());
    if (!held || from.slots() == nullptr || from.balances() == nullptr) {
        return std::nullopt;
    }
    slot_transfer msg;
    msg.id = from.id();
    msg.round = from.round();
    msg.to = base::incarnation{from.to()};
    msg.version = base::config_version{from.version()};
    msg.held = std::move(*held);
    for (flatbuffers::uoffset_t index = 0; index < from.slots()->size(); ++index) {
        const auto& each = *from.slots()->Get(index);
        if (each.slot() >= slot_count || !is_duration(each.age()) ||
            !is_duration(each.quarantine())) {
            return std::nullopt;
        }
        msg.slots.push_back(
            {each.slot(), base::nanoseconds{each.age()}, base::nanoseconds{each.quarantine()}});
    }
    for (flatbuffers::uoffset_t index = 0; index < from.balances()->size(); ++index) {
        const auto& each = *from.balances()->Get(index);
        if (each.slot() >= slot_count || !is_amount(each.balance()) || !is_amount(each.lent())) {
            return std::nullopt;
        }
        msg.balances.push_back({base::team_id{each.team()}, each.slot(),
                                micro_tokens{each.balance()}, micro_tokens{each.lent()}});
    }
    return msg;
}

std::optional<message> get_body(const wire::TransferAnswer& from)
{
    return transfer_answer{from.id(), from.accepted()};
}

std::optional<message> get_body(const wire::LoanRequest& from)
{
    for (const auto amount : {from.need(), from.want(), from.holding(), from.returned()}) {
        if (!is_amount(amount)) {
            return std::nullopt;
        }
    }
    loan_request msg;
    msg.team = base::team_id{from.team()};
    msg.request = from.request();
    msg.need = micro_tokens{from.need()};
    msg.want = micro_tokens{from.want()};
    msg.holding = micro_tokens{from.holding()};
    msg.returned = micro_tokens{from.returned()};
    msg.other_region = from.other_region();
    msg.level_per_mille = from.level_per_mille();
    for (flatbuffers::uoffset_t index = 0;
         from.refunds() != nullptr && index < from.refunds()->size(); ++index) {
        const auto& each = *from.refunds()->Get(index);
        if (!is_amount(each.amount())) {
            return std::nullopt;
        }
        msg.refunds.push_back({each.stamp(), micro_tokens{each.amount()}});
    }
    return msg;
}

std::optional<message> get_body(const wire::LoanGrant& from)
{
    for (const auto amount : {from.amount(), from.holding(), from.left()}) {
        if (!is_amount(amount)) {
            return std::nullopt;
        }
    }
    return loan_grant{base::team_id{from.team()},          from.request(),
                      micro_tokens{from.amount()},         micro_tokens{from.holding()},
                      micro_tokens{from.left()},           from.stamp(),
                      base::config_version{from.version()}};
}

std::optional<message> get_body(const wire::VersionQuery& /*from*/)
{
    return version_query{};
}

std::optional<message> get_body(const wire::VersionAnswer& from)
{
    return version_answer{base::config_version{from.version()}};
}

std::optional<message> get_message(const wire::Message& from)
{
    switch (from.body_type()) {
    case wire::Body::Claim:
        return get_body(*from.body_as_Claim());
    case wire::Body::ClaimAnswer:
        return get_body(*from.body_as_ClaimAnswer());
    case wire::Body::SlotTransfer:
        return get_body(*from.body_as_SlotTransfer());
    case wire::Body::TransferAnswer:
        return get_body(*from.body_as_TransferAnswer());
    case wire::Body::LoanRequest:
        return get_body(*from.body_as_LoanRequest());
    case wire::Body::LoanGrant:
        return get_body(*from.body_as_LoanGrant());
    case wire::Body::VersionQuery:
        return get_body(*from.body_as_VersionQuery());
    case wire::Body::VersionAnswer:
        return get_body(*from.body_as_VersionAnswer());
    default:
        return std::nullopt;
    }
}

} // namespace

std::vector<std::uint8_t> encode(const message& msg)
{
    constexpr std::size_t initial_size = 256;
    FlatBufferBuilder into(initial_size);
    const auto body = std::visit([&into](const auto& each) { return put_body(into, each); }, msg);
    wire::FinishMessageBuffer(into, wire::CreateMessage(into, body.kind, body.body));
    return {into.GetBufferPointer(), into.GetBufferPointer() + into.GetSize()};
}

base::result<message> decode(std::span<const std::uint8_t> data)
{
    flatbuffers::Verifier verifier(data.data(), data.size());
    if (wire::VerifyMessageBuffer(verifier)) {
        const auto* root = wire::GetMessage(data.data());
        auto msg = root->body() != nullptr ? get_message(*root) : std::nullopt;
        if (msg) {
            return *std::move(msg);
        }
    }
    return base::fail(base::error_kind::invalid_message,
                      "the bytes are not a message of the budget module",
                      "check that both VMs run the same release");
}

} // namespace chicorylink::budget
