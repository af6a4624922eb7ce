#ifndef CHICORYLINK_FLEET_PLACEMENT_QUERIES_HPP
#define CHICORYLINK_FLEET_PLACEMENT_QUERIES_HPP

#include "chicorylink/fleet/placement_message.hpp"

#include <chrono>
#include <cstdint>

// Builds queries to a placement coordinator for the tests of this module.

namespace chicorylink::fleet::test_support {

/// A query for an engine, with a prompt whose last part no other query has.
inline placement_query make_query(std::uint64_t number, std::uint64_t session, std::uint32_t shared,
                                  std::uint32_t own)
{
    static std::uint64_t unique = 5'000'000;
    prompt request_prompt;
    request_prompt.prompt_tokens = shared + own;
    request_prompt.parts = {{session, shared}, {++unique, own}};
    request_prompt.session = session;
    placement_query query;
    query.number = number;
    query.service = service_name{"engine"};
    query.engine_prompt = request_prompt;
    query.longest_wait = std::chrono::seconds{5};
    query.longest_start = std::chrono::seconds{5};
    return query;
}

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_PLACEMENT_QUERIES_HPP
