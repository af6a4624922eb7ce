#ifndef CHICORYLINK_FLEET_CODEC_ORIGINS_HPP
#define CHICORYLINK_FLEET_CODEC_ORIGINS_HPP

#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/fleet_placement_generated.h"
#include "chicorylink/fleet/placement_message.hpp"

#include <vector>

// Converts what VMs tell each other about the versions of streams to and from its coded form.

namespace chicorylink::fleet {

[[nodiscard]] inline std::vector<codec::StreamOrigin>
coded_origins(const placement_message& message)
{
    std::vector<codec::StreamOrigin> list;
    list.reserve(message.origins.size());
    for (const auto& origin : message.origins) {
        list.emplace_back(origin.stream.value(), origin.version.value(), to_wire_ms(origin.stays));
    }
    return list;
}

[[nodiscard]] inline std::vector<codec::OriginAsk>
coded_origin_queries(const placement_message& message)
{
    std::vector<codec::OriginAsk> list;
    list.reserve(message.origin_queries.size());
    for (const auto& query : message.origin_queries) {
        list.emplace_back(query.number, query.stream.value());
    }
    return list;
}

[[nodiscard]] inline std::vector<codec::OriginAnswer>
coded_origin_answers(const placement_message& message)
{
    std::vector<codec::OriginAnswer> list;
    list.reserve(message.origin_answers.size());
    for (const auto& answer : message.origin_answers) {
        list.emplace_back(answer.number, answer.version ? answer.version->value() : 0,
                          answer.version.has_value());
    }
    return list;
}

inline void read_origins(const codec::PlacementMessage& from, placement_message& message)
{
    if (from.origins() != nullptr) {
        for (const auto* origin : *from.origins()) {
            message.origins.push_back({stream_hash{origin->stream()},
                                       version_hash{origin->version()},
                                       base::milliseconds{origin->stays_ms()}});
        }
    }
    if (from.origin_asks() != nullptr) {
        for (const auto* query : *from.origin_asks()) {
            message.origin_queries.push_back({query->number(), stream_hash{query->stream()}});
        }
    }
    if (from.origin_answers() != nullptr) {
        for (const auto* answer : *from.origin_answers()) {
            message.origin_answers.push_back({answer->number(), std::nullopt});
            if (answer->known()) {
                message.origin_answers.back().version = version_hash{answer->version()};
            }
        }
    }
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_ORIGINS_HPP
