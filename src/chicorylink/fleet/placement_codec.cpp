#include "chicorylink/fleet/placement_codec.hpp"

#include "chicorylink/fleet/codec_notices.hpp"
#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/fleet_placement_generated.h"

#include <limits>

namespace chicorylink::fleet {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

constexpr std::uint8_t no_outcome = std::numeric_limits<std::uint8_t>::max();

flatbuffers::Offset<codec::PlacementAsk> write_ask(builder& to, const placement_ask& ask)
{
    std::vector<codec::PromptPart> part_list;
    if (ask.asked) {
        for (const auto& part : ask.asked->parts) {
            part_list.emplace_back(part.chain, part.tokens);
        }
    }
    std::vector<std::uint64_t> avoided_list;
    avoided_list.reserve(ask.avoided.size());
    for (const auto& target : ask.avoided) {
        avoided_list.push_back(target.value());
    }
    const auto service = to.CreateString(ask.service.text());
    const auto parts = to.CreateVectorOfStructs(part_list);
    const auto avoided = to.CreateVector(avoided_list);
    codec::PlacementAskBuilder table(to);
    table.add_number(ask.number);
    table.add_service(service);
    table.add_spread(ask.spread);
    if (ask.asked) {
        table.add_has_prompt(true);
        table.add_session(ask.asked->session);
        table.add_prompt_tokens(ask.asked->prompt_tokens);
        table.add_answer_tokens(ask.asked->answer_tokens);
    }
    table.add_parts(parts);
    table.add_urgency(ask.urgency);
    table.add_longest_wait_ms(count_of(ask.longest_wait));
    table.add_longest_start_ms(count_of(ask.longest_start));
    table.add_avoided(avoided);
    table.add_most_reread_tokens(ask.most_reread_tokens);
    table.add_data_center(ask.data_center.value());
    return table.Finish();
}

placement_ask read_ask(const codec::PlacementAsk& from)
{
    placement_ask ask;
    ask.number = from.number();
    ask.service = service_name{from.service() == nullptr ? "" : from.service()->str()};
    ask.spread = from.spread();
    ask.urgency = from.urgency();
    ask.longest_wait = base::milliseconds{from.longest_wait_ms()};
    ask.longest_start = base::milliseconds{from.longest_start_ms()};
    ask.most_reread_tokens = from.most_reread_tokens();
    ask.data_center = data_center_mark{from.data_center()};
    if (from.has_prompt()) {
        prompt asked;
        asked.session = from.session();
        asked.prompt_tokens = from.prompt_tokens();
        asked.answer_tokens = from.answer_tokens();
        if (from.parts() != nullptr) {
            for (const auto* part : *from.parts()) {
                asked.parts.push_back({part->chain(), part->tokens()});
            }
        }
        ask.asked = std::move(asked);
    }
    if (from.avoided() != nullptr) {
        for (const auto target : *from.avoided()) {
            ask.avoided.emplace_back(target);
        }
    }
    return ask;
}

placement_note read_note(const codec::PlacementNote& from)
{
    placement_note note;
    note.number = from.number();
    note.event = from.event() == static_cast<std::uint8_t>(placement_event::begun)
                     ? placement_event::begun
                     : placement_event::ended;
    if (from.outcome() <= static_cast<std::uint8_t>(target_outcome::unreachable)) {
        note.outcome = static_cast<target_outcome>(from.outcome());
    }
    note.took = base::milliseconds{from.took_ms()};
    return note;
}

} // namespace

std::vector<std::uint8_t> encode(const placement_message& message)
{
    builder to;
    std::vector<flatbuffers::Offset<codec::PlacementAsk>> ask_list;
    for (const auto& ask : message.asks) {
        ask_list.push_back(write_ask(to, ask));
    }
    std::vector<codec::PlacementAnswer> answer_list;
    for (const auto& answer : message.answers) {
        answer_list.emplace_back(answer.number, answer.target ? answer.target->value() : 0,
                                 count_of(answer.wait), count_of(answer.start),
                                 answer.unread_tokens, answer.is_reserved);
    }
    std::vector<codec::PlacementNote> note_list;
    for (const auto& note : message.notes) {
        note_list.emplace_back(
            note.number, count_of(note.took), static_cast<std::uint8_t>(note.event),
            note.outcome ? static_cast<std::uint8_t>(*note.outcome) : no_outcome);
    }
    const auto asks = to.CreateVector(ask_list);
    const auto answers = to.CreateVectorOfStructs(answer_list);
    const auto notes = to.CreateVectorOfStructs(note_list);
    const auto notices = write_notices<codec::PlacementNotice>(to, message.notices);
    codec::FinishPlacementMessageBuffer(
        to, codec::CreatePlacementMessage(to, message.run.value(), asks, answers, notes, notices));
    return {to.GetBufferPointer(), to.GetBufferPointer() + to.GetSize()};
}

base::result<placement_message> decode_placement(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!codec::VerifyPlacementMessageBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "datagram is not about placement",
                          "check that only VMs of this system send to the placement port");
    }
    const auto* from = codec::GetPlacementMessage(bytes.data());
    placement_message message;
    message.run = base::incarnation{from->run()};
    if (from->asks() != nullptr) {
        for (const auto* ask : *from->asks()) {
            message.asks.push_back(read_ask(*ask));
        }
    }
    if (from->answers() != nullptr) {
        for (const auto* answer : *from->answers()) {
            placement_answer read{answer->number(),
                                  answer->reserved(),
                                  std::nullopt,
                                  base::milliseconds{answer->wait_ms()},
                                  base::milliseconds{answer->start_ms()},
                                  answer->unread_tokens()};
            if (answer->target() != 0) {
                read.target = base::target_id{answer->target()};
            }
            message.answers.push_back(read);
        }
    }
    if (from->notes() != nullptr) {
        for (const auto* note : *from->notes()) {
            message.notes.push_back(read_note(*note));
        }
    }
    message.notices = read_notices(from->notices());
    return message;
}

} // namespace chicorylink::fleet
