#include "chicorylink/gateway/target_answer.hpp"

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

/// The fields of a target's answer that its caller gets.
constexpr std::array<std::string_view, 7> passed_fields{
    "cache-control", "content-disposition", "content-language", "content-type",
    "etag",          "last-modified",       "retry-after"};

header_list passed_headers(const header_list& headers)
{
    header_list passed;
    for (const auto& field : headers) {
        if (std::find(passed_fields.begin(), passed_fields.end(), field.first) !=
            passed_fields.end()) {
            passed.push_back(field);
        }
    }
    return passed;
}

bool is_number(std::string_view text, std::uint64_t expected)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && value == expected;
}

void begin_stream(work& entry)
{
    if (entry.phase == work_phase::answering) {
        return;
    }
    entry.phase = work_phase::answering;
    auto headers = entry.answer_headers;
    headers.emplace_back("X-Chicorylink-Outcome", "ran");
    entry.sink.begin(entry.status, std::move(headers));
}

/// Checks an event against what was passed on; false when it must not be passed on.
bool takes_event(work& entry, const chat_event& event)
{
    auto verdict = dispatch::token_verdict::pass_on;
    if (event.content.value() > 0) {
        verdict = dispatch::take_token(entry.progress, entry.present.id, entry.position++);
    }
    else if (event.done) {
        verdict = dispatch::take_end(entry.progress, entry.present.id, entry.position);
        entry.whole_stream = verdict == dispatch::token_verdict::pass_on;
    }
    entry.crossed = entry.crossed || verdict == dispatch::token_verdict::gap;
    return verdict == dispatch::token_verdict::pass_on;
}

void pass_event(work& entry, const std::string& text)
{
    const auto event = read_chat_event(text);
    if (!takes_event(entry, event)) {
        return;
    }
    entry.counted_answer += event.content;
    if (event.usage.value() > 0) {
        entry.reported_usage = event.usage;
    }
    begin_stream(entry);
    entry.paused = !entry.sink.append(text) || entry.paused;
}

run_outcome outcome_of(const work& entry)
{
    if (entry.status < first_server_error) {
        return run_outcome::ran;
    }
    return run_outcome::unknown;
}

} // namespace

void reset_answer(work& entry)
{
    entry.status = 0;
    entry.answer_headers.clear();
    entry.answer_body.clear();
    entry.crossed = false;
    entry.whole_stream = false;
    entry.position = entry.progress.next_token;
    entry.answer_is_stream = false;
    entry.paused = false;
    entry.unconsumed = 0;
    entry.partial_head.clear();
    entry.forwarded_head.reset();
    entry.events.reset();
}

void take_head(work& entry, int status, const header_list& headers)
{
    entry.status = status;
    entry.answer_headers = passed_headers(headers);
    const auto echoed = find_header(headers, "x-request-id");
    const bool resumed =
        is_number(find_header(headers, "x-resume-from"), entry.progress.next_token);
    const bool resume_failed = entry.progress.next_token > 0 && !resumed;
    entry.crossed = (!echoed.empty() && echoed != entry.correlation) || resume_failed;
    if (!entry.crossed) {
        dispatch::apply(entry.present, dispatch::attempt_event::answer_begun);
    }
    entry.answer_is_stream = entry.stream && status == status_ok &&
                             find_header(headers, "content-type").starts_with(event_stream_type);
}

bool take_piece(work& entry, std::string_view piece, std::size_t max_bytes)
{
    if (entry.crossed) {
        return true;
    }
    if (!entry.answer_is_stream) {
        entry.answer_body.append(piece);
        return entry.answer_body.size() <= max_bytes;
    }
    for (const auto& event : entry.events.feed(piece)) {
        pass_event(entry, event);
    }
    return !entry.events.overflowed();
}

answer_verdict judge_answer(work& entry, const platform::http_end& end)
{
    answer_verdict verdict;
    const bool ended = end.kind == platform::http_end_kind::complete && !entry.crossed;
    if (entry.answer_is_stream) {
        verdict.whole = ended && entry.whole_stream && !entry.events.has_partial();
        verdict.pass_on = verdict.whole;
        verdict.outcome = run_outcome::ran;
        return verdict;
    }
    verdict.whole = ended;
    const bool try_elsewhere = entry.route.idempotent && entry.status >= first_server_error;
    const bool stream_lost = entry.phase == work_phase::answering;
    verdict.pass_on = ended && !try_elsewhere && !stream_lost;
    if (!verdict.pass_on) {
        return verdict;
    }
    verdict.outcome = outcome_of(entry);
    if (entry.status < first_client_error) {
        entry.reported_usage = read_usage(entry.answer_body);
    }
    verdict.answer = {entry.status, std::exchange(entry.answer_headers, {}),
                      std::exchange(entry.answer_body, {})};
    return verdict;
}

} // namespace chicorylink::gateway
