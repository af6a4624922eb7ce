#include "chicorylink/front/request_bytes.hpp"

#include "chicorylink/front/forward_fields.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

std::string to_bytes(const asked_request& asked, const header_fields& fields)
{
    std::string bytes;
    bytes.reserve(asked.body.size() + 1024);
    bytes.append(asked.head.method).append(" ").append(asked.head.target).append(" HTTP/1.1\r\n");
    append_fields(bytes, fields);
    const bool has_body = asked.head.chunked || asked.head.content_length.has_value();
    if (has_body) {
        append_field(bytes, "Content-Length", std::to_string(asked.body.size()));
    }
    bytes.append("\r\n").append(asked.body);
    return bytes;
}

header_fields common_fields(const asked_request& asked, const send_details& details,
                            const wire_names& names)
{
    auto fields = asked.head.fields;
    remove_hop_fields(fields);
    remove_fields(fields, "Expect");
    remove_fields(fields, forwarded_field);
    remove_fields(fields, outcome_field);
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

std::string bytes_for_target(const asked_request& asked, const resolved_request& resolved,
                             const std::string& target_name, const send_details& details,
                             const wire_names& names)
{
    auto fields = common_fields(asked, details, names);
    remove_fields(fields, names.key);
    fields.push_back({names.expected_target, target_name});
    if (resolved.team != nullptr) {
        fields.push_back({names.team, resolved.team->name.text()});
    }
    if (resolved.service->is_engine) {
        fields.push_back({names.priority, std::to_string(urgency_of(resolved))});
    }
    return to_bytes(asked, fields);
}

std::string bytes_for_peer(const asked_request& asked, const resolved_request& resolved,
                           const send_details& details, const wire_names& names)
{
    auto fields = common_fields(asked, details, names);
    fields.push_back(
        {std::string{forwarded_field}, std::to_string(resolved.config->version().value())});
    return to_bytes(asked, fields);
}

} // namespace chicorylink::front
