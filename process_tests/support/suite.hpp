#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_SUITE_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_SUITE_HPP

#include "fleet.hpp"

#include <memory>
#include <string>

namespace chicorylink::process_tests {

inline constexpr const char* chat_path = "/v1/chat/completions";

/// The keys of the rules that `start_two_regions` publishes.
inline constexpr const char* both_key = "key-of-both";
inline constexpr const char* north_key = "key-of-north";
inline constexpr const char* passing_key = "key-to-withdraw";
inline constexpr const char* small_key = "key-of-small";

/// @brief Empties the folder of a suite's log files and returns it.
[[nodiscard]] std::string log_folder(const std::string& suite);

/// @brief The build folder, from the environment variable CHICORYLINK_BINARIES.
[[nodiscard]] std::string binaries();

/// @brief The rules of two regions: routes `chat` and `bookings`; teams `both`, `north-only`,
/// `passing` and `small`, whose rate is 10 tokens a second and whose burst is 60.
[[nodiscard]] std::string two_region_rules(const fleet& test_fleet, bool with_passing_key = true);

/// @brief Starts two VMs in north, one in south, an engine in each and a booking service in north,
/// and waits until they serve.
[[nodiscard]] std::unique_ptr<fleet> start_two_regions(const std::string& suite);

/// @brief Requests a booking ticket from a VM; empty when none was issued.
[[nodiscard]] std::string ticket_for(const vm& at, const std::string& key);

/// @brief Makes a booking call, with the ticket unless it is empty.
[[nodiscard]] call booking_call(const vm& at, const std::string& key, const std::string& ticket,
                                const std::string& body);

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_SUITE_HPP
