#include "chicorylink/wire/frame_codec.hpp"

#include "chicorylink/wire/wire_generated.h"

#include <flatbuffers/flatbuffers.h>

namespace chicorylink::wire {
namespace {

constexpr std::size_t bits_per_byte = 8;

void append_length(std::vector<std::uint8_t>& out, std::size_t length)
{
    for (std::size_t i = length_prefix_bytes; i > 0; --i) {
        out.push_back(static_cast<std::uint8_t>(length >> ((i - 1) * bits_per_byte)));
    }
}

flatbuffers::FlatBufferBuilder& builder_of_thread()
{
    thread_local flatbuffers::FlatBufferBuilder builder;
    builder.Clear();
    return builder;
}

} // namespace

void append_frame(std::vector<std::uint8_t>& out, const frame& value)
{
    auto& builder = builder_of_thread();
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> payload;
    if (!value.payload.empty()) {
        payload = builder.CreateVector(value.payload.data(), value.payload.size());
    }
    builder.Finish(schema::Createframe(builder, static_cast<schema::frame_kind>(value.kind),
                                       value.sender.value(), value.stream.value(),
                                       value.channel.value(), value.credit,
                                       static_cast<std::uint8_t>(value.reason), value.vm.value(),
                                       value.version, payload),
                   schema::frameIdentifier());
    append_length(out, builder.GetSize());
    out.insert(out.end(), builder.GetBufferPointer(),
               builder.GetBufferPointer() + builder.GetSize());
}

base::result<frame> decode_frame(std::span<const std::uint8_t> body)
{
    flatbuffers::Verifier verifier{body.data(), body.size()};
    if (!schema::VerifyframeBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "a peer frame is malformed",
                          "check that only VMs of this system connect to the peer address");
    }
    const auto* raw = schema::Getframe(body.data());
    if (raw->kind() > schema::frame_kind::MAX ||
        raw->reason() > static_cast<std::uint8_t>(reset_reason::timed_out)) {
        return base::fail(base::error_kind::invalid_message,
                          "a peer frame is of an unknown kind or reason",
                          "run the same version on all VMs");
    }
    frame value;
    value.kind = static_cast<frame_kind>(raw->kind());
    value.sender = base::incarnation{raw->incarnation()};
    value.stream = stream_number{raw->stream()};
    value.channel = channel_id{raw->channel()};
    value.credit = raw->credit();
    value.reason = static_cast<reset_reason>(raw->reason());
    value.vm = base::vm_id{raw->vm()};
    value.version = raw->version();
    if (const auto* payload = raw->payload()) {
        value.payload = {payload->data(), payload->size()};
    }
    return value;
}

} // namespace chicorylink::wire
