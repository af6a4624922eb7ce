#ifndef CHICORYLINK_GATEWAY_ANSWER_SINK_HPP
#define CHICORYLINK_GATEWAY_ANSWER_SINK_HPP

#include "chicorylink/gateway/http_answer.hpp"
#include "chicorylink/gateway/refusal.hpp"

#include <functional>
#include <string_view>

namespace chicorylink::gateway {

/// @brief Where the answer of a request goes: to the caller's connection, or over a peer link to
/// the VM that forwarded the request.
///
/// All functions are set, thread-safe and don't block. Exactly one answer is given: whole, or a
/// stream that is finished or broken off.
struct answer_sink {
    /// Gives a whole answer. A refusal is one too.
    std::function<void(http_answer answer, run_outcome outcome)> whole;
    /// Begins a stream.
    std::function<void(int status, platform::header_list headers)> begin;
    /// Adds to the stream; false when no more should be added until `on_room`.
    std::function<bool(std::string_view piece)> append;
    /// Ends the stream cleanly.
    std::function<void()> finish;
    /// Ends the answer so that its receiver sees it incomplete.
    std::function<void()> break_off;
    /// Sets what is called when there is room again after `append` returned false.
    std::function<void(std::function<void()> on_room)> set_on_room;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_ANSWER_SINK_HPP
