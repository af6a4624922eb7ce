#ifndef CHICORYLINK_WIRE_STREAM_ID_HPP
#define CHICORYLINK_WIRE_STREAM_ID_HPP

#include "chicorylink/base/strong.hpp"

#include <compare>

namespace chicorylink::wire {

struct link_number_tag;
struct stream_number_tag;

/// Number of a connection of this process; never reused within a process run.
using link_number = base::strong_id<link_number_tag>;

/// Number of a stream of one connection; assigned by the side that opened the connection.
using stream_number = base::strong_id<stream_number_tag>;

/// @brief Identifies a stream within this process. Never reused within a process run.
struct stream_id {
    link_number link;
    stream_number number;

    friend auto operator<=>(const stream_id&, const stream_id&) = default;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_STREAM_ID_HPP
