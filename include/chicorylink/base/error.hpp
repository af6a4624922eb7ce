#ifndef CHICORYLINK_BASE_ERROR_HPP
#define CHICORYLINK_BASE_ERROR_HPP

#include <string>
#include <string_view>
#include <utility>

#include <boost/leaf.hpp>

namespace chicorylink::base {

namespace leaf = boost::leaf;

/// @brief Categories of errors that callers handle differently.
enum class error_kind {
    invalid_setting,
    invalid_rule,
    invalid_message,
    invalid_state,
    not_found,
    not_allowed,
    stale,
    unavailable,
    overloaded,
    timed_out,
    io,
};

/// @brief Returns the stable name of a kind, as used in logs and JSON bodies.
[[nodiscard]] std::string_view to_string(error_kind kind);

/// @brief A failure: what is wrong and where (`message`), and how to fix it (`remedy`).
struct error {
    error_kind kind = error_kind::invalid_state;
    std::string message;
    std::string remedy;
};

/// @brief Returns the message and the remedy as one line.
[[nodiscard]] std::string describe(const error& failure);

template <class T>
using result = leaf::result<T>;

/// @brief Creates the error that a function returning `result` returns on failure.
[[nodiscard]] inline leaf::error_id fail(error_kind kind, std::string message, std::string remedy)
{
    return leaf::new_error(error{kind, std::move(message), std::move(remedy)});
}

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_ERROR_HPP
