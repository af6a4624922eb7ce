#include "chicorylink/fleet/placement_codec.hpp"

#include "chicorylink/fleet/codec_crashes.hpp"
#include "chicorylink/fleet/codec_notices.hpp"
#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/codec_origins.hpp"
#include "chicorylink/fleet/fleet_placement_generated.h"

#include <algorithm>
#include <limits>

namespace chicorylink::fleet {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

constexpr std::uint8_t no_outcome = std::numeric_limits<std::uint8_t>::max();

flatbuffers::Offset<codec::PlacementAsk> write_query(builder& to, const placement_query& query)
{
    std::vector<codec::PromptPart> part_list;
    if (query.engine_prompt) {
        for (const auto& part : query.engine_prompt->parts) {
            part_list.emplace_back(part.chain, part.tokens);
        }
    }
    std::vector<std::uint64_t> avoided_list;
    avoided_list.reserve(query.avoided.size());
    for (const auto& target : query.avoided) {
        avoided_list.push_back(target.value());
    }
    const auto service = to.CreateString(query.service.text());
    const auto parts = to.CreateVectorOfStructs(part_list);
    const auto avoided = to.CreateVector(avoided_list);
    codec::PlacementAskBuilder table(to);
    table.add_number(query.number);
    table.add_service(service);
    table.add_spread(query.spread);
    if (query.engine_prompt) {
        table.add_has_prompt(true);
        table.add_session(query.engine_prompt->session);
        table.add_prompt_tokens(query.engine_prompt->prompt_tokens);
        table.add_answer_tokens(query.engine_prompt->answer_tokens);
        table.add_output_tokens(query.engine_prompt->output_tokens);
    }
    table.add_time_left_ms(query.time_left ? to_wire_ms(*query.time_left) : 0);
    table.add_parts(parts);
    table.add_urgency(query.urgency);
    table.add_longest_wait_ms(to_wire_ms(query.longest_wait));
    table.add_longest_start_ms(to_wire_ms(query.longest_start));
    table.add_avoided(avoided);
    table.add_most_reread_tokens(query.most_reread_tokens);
    table.add_data_center(query.data_center.value());
    return table.Finish();
}

placement_query read_query(const codec::PlacementAsk& from)
{
    placement_query query;
    query.number = from.number();
    query.service = service_name{from.service() == nullptr ? "" : from.service()->str()};
    query.spread = from.spread();
    query.urgency = from.urgency();
    query.longest_wait = base::milliseconds{from.longest_wait_ms()};
    query.longest_start = base::milliseconds{from.longest_start_ms()};
    query.most_reread_tokens = from.most_reread_tokens();
    query.data_center = data_center_hash{from.data_center()};
    if (from.time_left_ms() > 0) {
        query.time_left = base::milliseconds{from.time_left_ms()};
    }
    if (from.has_prompt()) {
        prompt engine_prompt;
        engine_prompt.session = from.session();
        engine_prompt.prompt_tokens = from.prompt_tokens();
        engine_prompt.answer_tokens = from.answer_tokens();
        engine_prompt.output_tokens = from.output_tokens();
        if (from.parts() != nullptr) {
            for (const auto* part : *from.parts()) {
                engine_prompt.parts.push_back({part->chain(), part->tokens()});
            }
        }
        query.engine_prompt = std::move(engine_prompt);
    }
    if (from.avoided() != nullptr) {
        for (const auto target : *from.avoided()) {
            query.avoided.emplace_back(target);
        }
    }
    return query;
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

std::vector<codec::PlacementPace> to_wire(const std::vector<target_pace>& paces)
{
    std::vector<codec::PlacementPace> list;
    list.reserve(paces.size());
    for (const auto& pace : paces) {
        constexpr std::int64_t max_age_ms = std::numeric_limits<std::uint16_t>::max();
        const auto age_ms = std::clamp<std::int64_t>(pace.age.count(), 0, max_age_ms);
        list.emplace_back(pace.number, pace.target.value(), pace.started_ms, to_wire_ms(pace.took),
                          pace.percent, static_cast<std::uint16_t>(age_ms));
    }
    return list;
}

} // namespace

std::vector<std::uint8_t> encode(const placement_message& message)
{
    builder to;
    std::vector<flatbuffers::Offset<codec::PlacementAsk>> query_list;
    for (const auto& query : message.queries) {
        query_list.push_back(write_query(to, query));
    }
    std::vector<codec::PlacementAnswer> answer_list;
    std::vector<codec::PlacementDetail> detail_list;
    for (const auto& answer : message.answers) {
        if (answer.prefix_holder || answer.end.count() > 0) {
            detail_list.emplace_back(answer.number,
                                     answer.prefix_holder ? answer.prefix_holder->value() : 0,
                                     to_wire_ms(answer.end));
        }
        answer_list.emplace_back(answer.number, answer.target ? answer.target->value() : 0,
                                 to_wire_ms(answer.wait), to_wire_ms(answer.start),
                                 answer.unread_tokens, answer.is_reserved, answer.is_paced);
    }
    std::vector<codec::PlacementNote> note_list;
    for (const auto& note : message.notes) {
        note_list.emplace_back(
            note.number, to_wire_ms(note.took), static_cast<std::uint8_t>(note.event),
            note.outcome ? static_cast<std::uint8_t>(*note.outcome) : no_outcome);
    }
    const auto queries = to.CreateVector(query_list);
    const auto answers = to.CreateVectorOfStructs(answer_list);
    const auto details = to.CreateVectorOfStructs(detail_list);
    std::vector<codec::PlacementTokens> token_list;
    for (const auto& entry : message.tokens) {
        token_list.emplace_back(entry.target.value(), entry.tokens, to_wire_ms(entry.elapsed));
    }
    const auto tokens = to.CreateVectorOfStructs(token_list);
    const auto notes = to.CreateVectorOfStructs(note_list);
    const auto notices = write_notices<codec::PlacementNotice>(to, message.notices);
    const auto limits = write_limits<codec::PlacementLimit>(to, message.limits);
    constexpr auto part = crash_subject_kind::prompt_part;
    constexpr auto request = crash_subject_kind::whole_request;
    const auto& reports = message.crashes;
    const auto crashes = write_crashes<codec::PlacementCrash>(to, part, reports.crashes);
    const auto survivals = write_survivals<codec::PlacementSurvival>(to, part, reports.survivals);
    const auto request_crashes = write_crashes<codec::PlacementCrash>(to, request, reports.crashes);
    const auto request_survivals =
        write_survivals<codec::PlacementSurvival>(to, request, reports.survivals);
    const auto paces = to.CreateVectorOfStructs(to_wire(message.paces));
    const auto origins = to.CreateVectorOfStructs(coded_origins(message));
    const auto origin_asks = to.CreateVectorOfStructs(coded_origin_queries(message));
    const auto origin_answers = to.CreateVectorOfStructs(coded_origin_answers(message));
    codec::FinishPlacementMessageBuffer(
        to, codec::CreatePlacementMessage(to, message.run.value(), queries, answers, notes, notices,
                                          limits, crashes, survivals, request_crashes,
                                          request_survivals, details, tokens, paces, origins,
                                          origin_asks, origin_answers));
    return {to.GetBufferPointer(), to.GetBufferPointer() + to.GetSize()};
}

namespace {

void read_details(const codec::PlacementMessage& from, std::vector<placement_answer>& answers)
{
    if (from.details() == nullptr) {
        return;
    }
    for (const auto* detail : *from.details()) {
        const auto answer =
            std::find_if(answers.begin(), answers.end(), [&](const placement_answer& other) {
                return other.number == detail->number();
            });
        if (answer == answers.end()) {
            continue;
        }
        answer->end = base::milliseconds{detail->end_ms()};
        if (detail->holder() != 0) {
            answer->prefix_holder = base::target_id{detail->holder()};
        }
    }
}

} // namespace

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
        for (const auto* query : *from->asks()) {
            message.queries.push_back(read_query(*query));
        }
    }
    if (from->answers() != nullptr) {
        for (const auto* answer : *from->answers()) {
            placement_answer read{answer->number(),
                                  answer->reserved(),
                                  std::nullopt,
                                  base::milliseconds{answer->wait_ms()},
                                  base::milliseconds{answer->start_ms()},
                                  answer->unread_tokens(),
                                  answer->paced(),
                                  std::nullopt,
                                  base::milliseconds{0}};
            if (answer->target() != 0) {
                read.target = base::target_id{answer->target()};
            }
            message.answers.push_back(read);
        }
    }
    read_details(*from, message.answers);
    if (from->tokens() != nullptr) {
        for (const auto* entry : *from->tokens()) {
            message.tokens.push_back({base::target_id{entry->target()}, entry->tokens(),
                                      base::milliseconds{entry->elapsed_ms()}});
        }
    }
    if (from->notes() != nullptr) {
        for (const auto* note : *from->notes()) {
            message.notes.push_back(read_note(*note));
        }
    }
    if (from->paces() != nullptr) {
        for (const auto* pace : *from->paces()) {
            message.paces.push_back({pace->number(), base::milliseconds{pace->took_ms()},
                                     base::target_id{pace->target()}, pace->started_ms(),
                                     pace->percent(), base::milliseconds{pace->age_ms()}});
        }
    }
    read_origins(*from, message);
    message.notices = read_notices(from->notices());
    message.limits = read_limits(from->limits());
    constexpr auto part = crash_subject_kind::prompt_part;
    constexpr auto request = crash_subject_kind::whole_request;
    read_crashes(from->crashes(), part, message.crashes.crashes);
    read_crashes(from->request_crashes(), request, message.crashes.crashes);
    read_survivals(from->survivals(), part, message.crashes.survivals);
    read_survivals(from->request_survivals(), request, message.crashes.survivals);
    return message;
}

} // namespace chicorylink::fleet
