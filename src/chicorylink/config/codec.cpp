#include "chicorylink/config/codec.hpp"

#include "chicorylink/config/config_generated.h"

#include <algorithm>

namespace chicorylink::config {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

struct packed_body {
    fbs::Body kind = fbs::Body::NONE;
    flatbuffers::Offset<void> place;
};

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> pack(builder& out, const base::digest& value)
{
    return out.CreateVector(value.data(), value.size());
}

packed_body pack_body(builder& out, const announcement& value)
{
    return {fbs::Body::Announcement, fbs::CreateAnnouncement(out, value.version.value()).Union()};
}

packed_body pack_body(builder& out, const version_query& /*value*/)
{
    return {fbs::Body::VersionQuery, fbs::CreateVersionQuery(out).Union()};
}

packed_body pack_body(builder& out, const version_answer& value)
{
    return {fbs::Body::VersionAnswer, fbs::CreateVersionAnswer(out, value.version.value()).Union()};
}

packed_body pack_body(builder& out, const manifest_request& value)
{
    return {fbs::Body::ManifestRequest,
            fbs::CreateManifestRequest(out, value.at_least.value()).Union()};
}

packed_body pack_body(builder& out, const manifest_reply& value)
{
    return {fbs::Body::ManifestReply,
            fbs::CreateManifestReply(out, out.CreateString(value.text)).Union()};
}

packed_body pack_body(builder& out, const part_request& value)
{
    return {fbs::Body::PartRequest,
            fbs::CreatePartRequest(out, pack(out, value.digest), value.offset).Union()};
}

packed_body pack_body(builder& out, const part_reply& value)
{
    const auto digest = pack(out, value.digest);
    const auto* start = reinterpret_cast<const std::uint8_t*>(value.content.data());
    const auto content = out.CreateVector(start, value.content.size());
    return {fbs::Body::PartReply,
            fbs::CreatePartReply(out, digest, value.total, value.offset, content).Union()};
}

base::result<base::digest> unpack(const flatbuffers::Vector<std::uint8_t>& bytes)
{
    base::digest value{};
    if (bytes.size() != value.size()) {
        return base::fail(base::error_kind::invalid_message, "a part's digest has a wrong length",
                          "check that all VMs run compatible releases");
    }
    std::copy(bytes.begin(), bytes.end(), value.begin());
    return value;
}

base::result<message> unpack_part_request(const fbs::PartRequest& value, const sender& from)
{
    BOOST_LEAF_AUTO(digest, unpack(*value.digest()));
    return part_request{from, digest, value.offset()};
}

base::result<message> unpack_part_reply(const fbs::PartReply& value, const sender& from)
{
    BOOST_LEAF_AUTO(digest, unpack(*value.digest()));
    std::string content;
    if (value.content() != nullptr) {
        content.assign(value.content()->begin(), value.content()->end());
    }
    if (content.size() > chunk_size_bytes) {
        return base::fail(base::error_kind::invalid_message,
                          "a piece of a part is larger than allowed",
                          "check that all VMs run compatible releases");
    }
    return part_reply{from, digest, value.total(), value.offset(), std::move(content)};
}

base::config_version version(std::uint64_t value)
{
    return base::config_version{value};
}

} // namespace

std::vector<std::uint8_t> encode(const message& value)
{
    builder out;
    const auto body =
        std::visit([&out](const auto& content) { return pack_body(out, content); }, value);
    const auto source = std::visit([](const auto& content) { return content.from; }, value);
    const fbs::Sender from(source.vm.value(), source.process.value());
    out.Finish(fbs::CreateMessage(out, &from, body.kind, body.place));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

base::result<message> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (bytes.empty() || !fbs::VerifyMessageBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "a configuration message is malformed",
                          "check that all VMs run compatible releases");
    }
    const auto& value = *fbs::GetMessage(bytes.data());
    const sender from{base::vm_id{value.from()->vm()}, base::incarnation{value.from()->process()}};
    switch (value.body_type()) {
    case fbs::Body::Announcement:
        return message{announcement{from, version(value.body_as_Announcement()->version())}};
    case fbs::Body::VersionQuery:
        return message{version_query{from}};
    case fbs::Body::VersionAnswer:
        return message{version_answer{from, version(value.body_as_VersionAnswer()->version())}};
    case fbs::Body::ManifestRequest:
        return message{
            manifest_request{from, version(value.body_as_ManifestRequest()->at_least())}};
    case fbs::Body::ManifestReply:
        return message{manifest_reply{from, value.body_as_ManifestReply()->text()->str()}};
    case fbs::Body::PartRequest:
        return unpack_part_request(*value.body_as_PartRequest(), from);
    case fbs::Body::PartReply:
        return unpack_part_reply(*value.body_as_PartReply(), from);
    case fbs::Body::NONE:
        break;
    }
    return base::fail(base::error_kind::invalid_message,
                      "a configuration message is of an unknown kind",
                      "check that all VMs run compatible releases");
}

} // namespace chicorylink::config
