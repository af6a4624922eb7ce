#ifndef CHICORYLINK_FLEET_CRASH_SUBJECT_HPP
#define CHICORYLINK_FLEET_CRASH_SUBJECT_HPP

#include <compare>
#include <cstdint>

namespace chicorylink::fleet {

/// @brief What can make targets crash.
enum class crash_subject_kind : std::uint8_t {
    /// A part that prompts of several requests share.
    prompt_part,
    /// One request, which comes again with the same path, caller and body.
    whole_request,
};

/// @brief Something in requests that may be the cause of crashes, by its hash.
struct crash_subject {
    std::uint64_t hash = 0;
    crash_subject_kind kind = crash_subject_kind::prompt_part;

    friend auto operator<=>(const crash_subject&, const crash_subject&) = default;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CRASH_SUBJECT_HPP
