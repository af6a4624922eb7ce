#include "chicorylink/front/request_bytes.hpp"

#include "chicorylink/front/forward_fields.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

std::string serialize(const incoming_request& request, const header_fields& fields)
{
    std::string bytes;
    bytes.append(request.head.method)
        .append(" ")
        .append(request.head.target)
        .append(" HTTP/1.1\r\n");
    append_fields(bytes, fields);
    const bool has_body = request.head.chunked || request.head.content_length.has_value();
    if (has_body) {
        append_field(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    bytes.append("\r\n");
    // Exactly, so that a large body takes no more than its size.
    bytes.reserve(bytes.size() + request.body.size());
    bytes.append(request.body);
    return bytes;
}

header_fields common_fields(const incoming_request& request, const attempt_details& details,
                            const header_names& names)
{
    auto fields = request.head.fields;
    remove_hop_by_hop_fields(fields);
    remove_fields(fields, "Expect");
    remove_fields(fields, forwarded_field);
    remove_fields(fields, outcome_field);
    remove_fields(fields, stream_version_field);
    for (const auto& name : names.reserved) {
        remove_fields(fields, name);
    }
    remove_fields(fields, names.deadline_ms);
    fields.push_back({names.deadline_ms, std::to_string(details.time_left.count())});
    if (!details.last_event_id.empty()) {
        remove_fields(fields, names.last_event_id);
        fields.push_back({names.last_event_id, details.last_event_id});
    }
    return fields;
}

} // namespace

std::string serialize_for_target(const incoming_request& request, const resolved_request& resolved,
                                 const std::string& target_name, const attempt_details& details,
                                 const header_names& names)
{
    auto fields = common_fields(request, details, names);
    remove_fields(fields, names.key);
    fields.push_back({names.expected_target, target_name});
    if (resolved.team != nullptr) {
        fields.push_back({names.team, resolved.team->name.text()});
    }
    if (resolved.service->is_engine) {
        fields.push_back({names.priority, std::to_string(urgency_of(resolved))});
    }
    if (!details.prefix_holder_address.empty()) {
        fields.push_back({names.prefix_holder, details.prefix_holder_address});
    }
    return serialize(request, fields);
}

std::string serialize_for_peer(const incoming_request& request, const resolved_request& resolved,
                               const attempt_details& details, const header_names& names)
{
    auto fields = common_fields(request, details, names);
    fields.push_back(
        {std::string{forwarded_field}, std::to_string(resolved.config->version().value())});
    if (details.stream_version) {
        fields.push_back(
            {std::string{stream_version_field}, std::to_string(details.stream_version->value())});
    }
    return serialize(request, fields);
}

} // namespace chicorylink::front
