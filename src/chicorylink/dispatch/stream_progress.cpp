#include "chicorylink/dispatch/stream_progress.hpp"

namespace chicorylink::dispatch {

token_verdict take_token(stream_progress& progress, const attempt_id& source,
                         std::uint64_t position)
{
    if (progress.ended || source != progress.source || position < progress.next_token) {
        return token_verdict::drop;
    }
    if (position > progress.next_token) {
        return token_verdict::gap;
    }
    ++progress.next_token;
    return token_verdict::pass_on;
}

token_verdict take_end(stream_progress& progress, const attempt_id& source, std::uint64_t length)
{
    if (progress.ended || source != progress.source) {
        return token_verdict::drop;
    }
    if (length != progress.next_token) {
        return token_verdict::gap;
    }
    progress.ended = true;
    return token_verdict::pass_on;
}

resume_verdict resume_with(stream_progress& progress, const attempt_id& next, bool can_resume)
{
    if (progress.ended) {
        return resume_verdict::abort_response;
    }
    if (progress.next_token == 0) {
        progress.source = next;
        return resume_verdict::restart;
    }
    if (!can_resume) {
        return resume_verdict::abort_response;
    }
    progress.source = next;
    return resume_verdict::resume;
}

} // namespace chicorylink::dispatch
