#ifndef CHICORYLINK_FLEET_PLACEMENT_ASKS_HPP
#define CHICORYLINK_FLEET_PLACEMENT_ASKS_HPP

#include "chicorylink/fleet/placement_message.hpp"

#include <chrono>
#include <cstdint>

// Asks of a placement desk for the tests of this module.

namespace chicorylink::fleet::test_support {

/// For an engine, with a prompt whose last part no other ask has.
inline placement_ask ask_for(std::uint64_t number, std::uint64_t session, std::uint32_t shared,
                             std::uint32_t own)
{
    static std::uint64_t unique = 5'000'000;
    prompt asked;
    asked.prompt_tokens = shared + own;
    asked.parts = {{session, shared}, {++unique, own}};
    asked.session = session;
    placement_ask ask;
    ask.number = number;
    ask.service = service_name{"engine"};
    ask.asked = asked;
    ask.longest_wait = std::chrono::seconds{5};
    ask.longest_start = std::chrono::seconds{5};
    return ask;
}

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_PLACEMENT_ASKS_HPP
