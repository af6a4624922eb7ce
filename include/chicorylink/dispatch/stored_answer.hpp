#ifndef CHICORYLINK_DISPATCH_STORED_ANSWER_HPP
#define CHICORYLINK_DISPATCH_STORED_ANSWER_HPP

#include "chicorylink/base/secret.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::dispatch {

/// @brief The answer of a request that ran, kept for its repeats.
struct stored_answer {
    /// The HTTP status.
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    /// Of the whole body, also when it is not kept.
    base::digest body_digest{};
    /// False when the body was too large to be kept; repeats then learn status and digest only.
    bool has_body = true;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_STORED_ANSWER_HPP
