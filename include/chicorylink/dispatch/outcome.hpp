#ifndef CHICORYLINK_DISPATCH_OUTCOME_HPP
#define CHICORYLINK_DISPATCH_OUTCOME_HPP

#include <string_view>

namespace chicorylink::dispatch {

/// @brief Whether a request ran on a target, as far as is known.
enum class outcome {
    /// No byte of the request has reached a target, and none will.
    not_run,
    /// A target has started to respond. Says nothing about success.
    ran,
    /// The request may have run, or may still run.
    unknown,
};

/// @brief The value of the header `X-Chicorylink-Outcome`: `not-run`, `ran` or `unknown`.
[[nodiscard]] std::string_view to_string(outcome value);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_OUTCOME_HPP
