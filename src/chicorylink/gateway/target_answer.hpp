#ifndef CHICORYLINK_GATEWAY_TARGET_ANSWER_HPP
#define CHICORYLINK_GATEWAY_TARGET_ANSWER_HPP

#include "chicorylink/gateway/http_answer.hpp"
#include "chicorylink/gateway/work.hpp"
#include "chicorylink/platform/http_end.hpp"

#include <cstddef>
#include <string_view>

namespace chicorylink::gateway {

/// Functions on the answer that a target gives to the present attempt. The work's lock is held by
/// the caller.

/// @brief Forgets what an earlier attempt left.
void reset_answer(work& entry);

/// @brief Takes the answer's status and header fields. An answer whose correlation id is not the
/// request's counts as crossed and is never passed on.
void take_head(work& entry, int status, const header_list& headers);

/// @brief Takes a piece of the answer's body; whole events of a stream are passed on at once.
/// @return False when the answer passes its size limit.
bool take_piece(work& entry, std::string_view piece, std::size_t max_bytes);

/// @brief What becomes of an answer whose call ended.
struct answer_verdict {
    /// All of the answer arrived and it is the request's own.
    bool whole = false;
    /// Give the answer to the caller; otherwise the attempt failed.
    bool pass_on = false;
    run_outcome outcome = run_outcome::unknown;
    http_answer answer;
};

/// @brief Judges the answer at the end of its call.
[[nodiscard]] answer_verdict judge_answer(work& entry, const platform::http_end& end);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TARGET_ANSWER_HPP
