#include "chicorylink/gateway/codec.hpp"

#include "chicorylink/gateway/gateway_generated.h"

#include <algorithm>
#include <utility>

namespace chicorylink::gateway {
namespace {

using flatbuffers::FlatBufferBuilder;

constexpr std::uint8_t last_purpose = static_cast<std::uint8_t>(forward_purpose::issue_ticket);
constexpr std::uint8_t last_outcome = static_cast<std::uint8_t>(run_outcome::unknown);

base::leaf::error_id bad_message(std::string message)
{
    return base::fail(base::error_kind::invalid_message, std::move(message),
                      "run the same version of the daemon on all VMs");
}

auto encode_headers(FlatBufferBuilder& builder, const platform::header_list& headers)
{
    std::vector<flatbuffers::Offset<fb::Header>> rows;
    for (const auto& [name, value] : headers) {
        rows.push_back(
            fb::CreateHeader(builder, builder.CreateString(name), builder.CreateString(value)));
    }
    return builder.CreateVector(rows);
}

std::string text_of(const flatbuffers::String* text)
{
    return text == nullptr ? std::string{} : text->str();
}

platform::header_list
headers_of(const flatbuffers::Vector<flatbuffers::Offset<fb::Header>>* headers)
{
    platform::header_list list;
    if (headers == nullptr) {
        return list;
    }
    for (const auto* header : *headers) {
        list.emplace_back(text_of(header->name()), text_of(header->value()));
    }
    return list;
}

std::vector<std::uint8_t> bytes_of(const FlatBufferBuilder& builder)
{
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

template <class Table>
const Table* verified(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetRoot<Table>(bytes.data());
}

void read_digest(const fb::ForwardedRequest& table, forwarded_request& message)
{
    const auto* bytes = table.key_digest();
    if (bytes == nullptr || bytes->size() != base::digest{}.size()) {
        return;
    }
    message.key_digest.emplace();
    std::copy(bytes->begin(), bytes->end(), message.key_digest->begin());
}

} // namespace

std::vector<std::uint8_t> encode(const forwarded_request& message)
{
    FlatBufferBuilder builder;
    const auto digest = message.key_digest ? builder.CreateVector(message.key_digest->data(),
                                                                  message.key_digest->size())
                                           : 0;
    const auto request_id = builder.CreateString(message.request_id);
    const auto method = builder.CreateString(message.method);
    const auto path = builder.CreateString(message.path);
    const auto query = builder.CreateString(message.query);
    const auto headers = encode_headers(builder, message.headers);
    const auto ticket = builder.CreateString(message.ticket);
    const auto blocks = builder.CreateVector(message.blocks);
    builder.Finish(fb::CreateForwardedRequest(
        builder, static_cast<std::uint8_t>(message.purpose), message.team.value(), digest,
        message.route.value(), message.version.value(), request_id, method, path, query, headers,
        message.stream, message.body_bytes, static_cast<std::uint32_t>(message.deadline.count()),
        message.prompt_tokens.value(), message.answer_tokens.value(), message.attempt, ticket,
        message.hop, message.session, blocks, message.origin.value(), message.resume_from));
    return bytes_of(builder);
}

base::result<forwarded_request> decode_forwarded_request(std::span<const std::uint8_t> bytes)
{
    const auto* table = verified<fb::ForwardedRequest>(bytes);
    if (table == nullptr) {
        return bad_message("a forwarded request can't be read");
    }
    if (table->hop() != 1 || table->purpose() > last_purpose) {
        return bad_message("a forwarded request has a hop count other than 1 or no known purpose");
    }
    forwarded_request message;
    message.purpose = static_cast<forward_purpose>(table->purpose());
    message.team = base::team_id{table->team()};
    read_digest(*table, message);
    message.route = base::route_id{table->route()};
    message.version = base::config_version{table->config_version()};
    message.request_id = text_of(table->request_id());
    message.method = text_of(table->method());
    message.path = text_of(table->path());
    message.query = text_of(table->query());
    message.headers = headers_of(table->headers());
    message.stream = table->stream();
    message.body_bytes = table->body_bytes();
    message.deadline = base::milliseconds{table->deadline_ms()};
    message.prompt_tokens = base::tokens{table->prompt_tokens()};
    message.answer_tokens = base::tokens{table->answer_tokens()};
    message.attempt = table->attempt();
    message.ticket = text_of(table->ticket());
    message.hop = table->hop();
    message.session = table->session();
    if (table->blocks() != nullptr) {
        message.blocks.assign(table->blocks()->begin(), table->blocks()->end());
    }
    message.origin = base::vm_id{table->origin_vm()};
    message.resume_from = table->resume_from();
    return message;
}

std::vector<std::uint8_t> encode(const response_head& message)
{
    FlatBufferBuilder builder;
    const auto headers = encode_headers(builder, message.headers);
    builder.FinishSizePrefixed(fb::CreateAnswerHead(
        builder, static_cast<std::uint16_t>(message.status), headers, message.stream,
        static_cast<std::uint8_t>(message.outcome), message.body_bytes));
    return bytes_of(builder);
}

base::result<response_head> decode_response_head(std::span<const std::uint8_t> bytes)
{
    const auto* table = verified<fb::AnswerHead>(bytes);
    if (table == nullptr || table->outcome() > last_outcome) {
        return bad_message("the head of a forwarded answer can't be read");
    }
    response_head message;
    message.status = table->status();
    message.headers = headers_of(table->headers());
    message.stream = table->stream();
    message.outcome = static_cast<run_outcome>(table->outcome());
    message.body_bytes = table->body_bytes();
    return message;
}

} // namespace chicorylink::gateway
