#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_STORE_CONTENT_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_STORE_CONTENT_HPP

#include "stand_ins/published_store.hpp"

#include <string>
#include <vector>

namespace chicorylink::process_tests {

/// @brief A configuration with repeatable routes to service `app` and one team.
struct version_content {
    int version = 1;
    std::vector<std::string> paths;
    std::vector<std::string> keys{"secret"};
};

/// @brief A target of service `app`.
struct target_content {
    std::string name;
    std::string address;
    std::string zone = "east-a";
    std::string state = "ready";
    int sequence = 1;
    /// The start of its run, which tells runs of one name apart.
    int started_ms = 1;
};

/// @brief Writes a configuration as the operator does.
void publish(stand_ins::published_store& store, const version_content& content);

/// @brief Writes a target's item as the target does.
void publish(stand_ins::published_store& store, const target_content& target);

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_STORE_CONTENT_HPP
