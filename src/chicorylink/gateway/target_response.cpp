#include "chicorylink/gateway/target_response.hpp"

#include "chicorylink/gateway/chat_request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr int status_ok = 200;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr std::string_view event_stream_type = "text/event-stream";

/// Header fields of a target's response that are forwarded to the caller.
constexpr std::array<std::string_view, 7> forwarded_fields{
    "cache-control", "content-disposition", "content-language", "content-type",
    "etag",          "last-modified",       "retry-after"};

header_list forwarded_headers(const header_list& headers)
{
    header_list forwarded;
    for (const auto& field : headers) {
        if (std::find(forwarded_fields.begin(), forwarded_fields.end(), field.first) !=
            forwarded_fields.end()) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

bool is_number(std::string_view text, std::uint64_t expected)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && value == expected;
}

void begin_stream(active_request& entry)
{
    if (entry.phase == request_phase::responding) {
        return;
    }
    entry.phase = request_phase::responding;
    auto headers = entry.response_headers;
    headers.emplace_back("X-Chicorylink-Outcome", "ran");
    entry.sink.begin(entry.status, std::move(headers));
}

/// Checks an event against those delivered already; false when it must not be delivered.
bool accepts_event(active_request& entry, const chat_event& event)
{
    auto verdict = dispatch::token_verdict::pass_on;
    if (event.content.value() > 0) {
        verdict = dispatch::take_token(entry.progress, entry.current_attempt.id, entry.position++);
    }
    else if (event.done) {
        verdict = dispatch::take_end(entry.progress, entry.current_attempt.id, entry.position);
        entry.stream_complete = verdict == dispatch::token_verdict::pass_on;
    }
    entry.mismatched = entry.mismatched || verdict == dispatch::token_verdict::gap;
    return verdict == dispatch::token_verdict::pass_on;
}

void deliver_event(active_request& entry, const std::string& text)
{
    const auto event = read_chat_event(text);
    if (!accepts_event(entry, event)) {
        return;
    }
    entry.delivered_tokens += event.content;
    if (event.usage.value() > 0) {
        entry.reported_usage = event.usage;
    }
    begin_stream(entry);
    entry.paused = !entry.sink.append(text) || entry.paused;
}

run_outcome outcome_of(const active_request& entry)
{
    if (entry.status < first_server_error) {
        return run_outcome::ran;
    }
    return run_outcome::unknown;
}

} // namespace

void reset_response(active_request& entry)
{
    entry.status = 0;
    entry.response_headers.clear();
    entry.response_body.clear();
    entry.mismatched = false;
    entry.stream_complete = false;
    entry.position = entry.progress.next_token;
    entry.response_is_stream = false;
    entry.paused = false;
    entry.unconsumed_bytes = 0;
    entry.partial_head.clear();
    entry.forwarded_head.reset();
    entry.events.reset();
}

void take_head(active_request& entry, int status, const header_list& headers)
{
    entry.status = status;
    entry.response_headers = forwarded_headers(headers);
    const auto echoed = find_header(headers, "x-request-id");
    const bool resumed =
        is_number(find_header(headers, "x-resume-from"), entry.progress.next_token);
    const bool resume_failed = entry.progress.next_token > 0 && !resumed;
    entry.mismatched = (!echoed.empty() && echoed != entry.correlation_id) || resume_failed;
    if (!entry.mismatched) {
        dispatch::apply(entry.current_attempt, dispatch::attempt_event::response_begun);
    }
    entry.response_is_stream = entry.stream && status == status_ok &&
                               find_header(headers, "content-type").starts_with(event_stream_type);
}

bool take_piece(active_request& entry, std::string_view piece, std::size_t max_bytes)
{
    if (entry.mismatched) {
        return true;
    }
    if (!entry.response_is_stream) {
        entry.response_body.append(piece);
        return entry.response_body.size() <= max_bytes;
    }
    for (const auto& event : entry.events.feed(piece)) {
        deliver_event(entry, event);
    }
    return !entry.events.overflowed();
}

response_verdict evaluate_response(active_request& entry, const platform::http_end& end)
{
    response_verdict verdict;
    const bool ended = end.kind == platform::http_end_kind::complete && !entry.mismatched;
    if (entry.response_is_stream) {
        verdict.is_complete = ended && entry.stream_complete && !entry.events.has_partial();
        verdict.pass_on = verdict.is_complete;
        verdict.outcome = run_outcome::ran;
        return verdict;
    }
    verdict.is_complete = ended;
    const bool try_elsewhere = entry.route.idempotent && entry.status >= first_server_error;
    const bool stream_lost = entry.phase == request_phase::responding;
    verdict.pass_on = ended && !try_elsewhere && !stream_lost;
    if (!verdict.pass_on) {
        return verdict;
    }
    verdict.outcome = outcome_of(entry);
    if (entry.status < first_client_error) {
        entry.reported_usage = read_usage(entry.response_body);
    }
    verdict.response = {entry.status, std::exchange(entry.response_headers, {}),
                        std::exchange(entry.response_body, {})};
    return verdict;
}

} // namespace chicorylink::gateway
