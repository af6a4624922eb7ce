#include "chicorylink/dispatch/codec.hpp"

#include "chicorylink/dispatch/dispatch_generated.h"

#include <flatbuffers/flatbuffers.h>

namespace chicorylink::dispatch {
namespace {

base::leaf::error_id malformed(const char* what)
{
    return base::fail(base::error_kind::invalid_message, what, "run the same version on all VMs");
}

template <class Body>
std::vector<std::uint8_t> finish(flatbuffers::FlatBufferBuilder& builder, schema::body kind,
                                 flatbuffers::Offset<Body> body)
{
    builder.Finish(schema::Createenvelope(builder, kind, body.Union()),
                   schema::envelopeIdentifier());
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

const schema::envelope* verified(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier{bytes.data(), bytes.size()};
    return schema::VerifyenvelopeBuffer(verifier) ? schema::Getenvelope(bytes.data()) : nullptr;
}

std::string text_of(const flatbuffers::String* text)
{
    return text == nullptr ? std::string{} : text->str();
}

} // namespace

std::vector<std::uint8_t> encode(const forward_header& header)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = schema::CreateforwardDirect(
        builder, header.attempt.process.value(), header.attempt.counter, header.hops,
        header.attempts, header.version.value(), header.team.value(), header.route.value(),
        header.time_left.count(), header.first_attempt, header.ticket.c_str(),
        header.method.c_str(), header.path.c_str(), header.content_type.c_str());
    return finish(builder, schema::body::forward, body);
}

std::vector<std::uint8_t> encode(const reply_header& header)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = schema::CreatereplyDirect(
        builder, header.attempt.process.value(), header.attempt.counter,
        static_cast<std::uint8_t>(header.result), static_cast<std::uint8_t>(header.verdict),
        header.status, header.content_type.c_str(), header.retry_after.count());
    return finish(builder, schema::body::reply, body);
}

base::result<forward_header> decode_forward(std::span<const std::uint8_t> bytes)
{
    const auto* const envelope = verified(bytes);
    const auto* const raw = envelope == nullptr ? nullptr : envelope->body_as_forward();
    if (raw == nullptr) {
        return malformed("the header of a forwarded request is malformed");
    }
    if (raw->hops() != 1) {
        return malformed("a request was handed on more than once");
    }
    return forward_header{.attempt = {base::incarnation{raw->process()}, raw->counter()},
                          .hops = raw->hops(),
                          .attempts = raw->attempts(),
                          .version = base::config_version{raw->version()},
                          .team = base::team_id{raw->team()},
                          .route = base::route_id{raw->route()},
                          .time_left = base::milliseconds{raw->time_left_ms()},
                          .first_attempt = raw->first_attempt(),
                          .ticket = text_of(raw->ticket()),
                          .method = text_of(raw->method()),
                          .path = text_of(raw->path()),
                          .content_type = text_of(raw->content_type())};
}

base::result<reply_header> decode_reply(std::span<const std::uint8_t> bytes)
{
    const auto* const envelope = verified(bytes);
    const auto* const raw = envelope == nullptr ? nullptr : envelope->body_as_reply();
    if (raw == nullptr || raw->outcome() > static_cast<std::uint8_t>(outcome::unknown) ||
        raw->verdict() > static_cast<std::uint8_t>(ticket_verdict::mismatch)) {
        return malformed("the header of an answer is malformed");
    }
    return reply_header{.attempt = {base::incarnation{raw->process()}, raw->counter()},
                        .result = static_cast<outcome>(raw->outcome()),
                        .verdict = static_cast<ticket_verdict>(raw->verdict()),
                        .status = raw->status(),
                        .content_type = text_of(raw->content_type()),
                        .retry_after = base::milliseconds{raw->retry_after_ms()}};
}

} // namespace chicorylink::dispatch
