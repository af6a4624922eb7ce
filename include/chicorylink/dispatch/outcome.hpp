#ifndef CHICORYLINK_DISPATCH_OUTCOME_HPP
#define CHICORYLINK_DISPATCH_OUTCOME_HPP

#include <string_view>

namespace chicorylink::dispatch {

/// @brief What is known of the effect of a request.
enum class outcome {
    /// No byte of it has reached a target, and none will.
    not_run,
    /// A target has begun to answer it. Says nothing about success.
    ran,
    /// It may have run, or may yet run.
    unknown,
};

/// @brief The value of the header `X-Chicorylink-Outcome`: `not-run`, `ran` or `unknown`.
[[nodiscard]] std::string_view to_string(outcome value);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_OUTCOME_HPP
