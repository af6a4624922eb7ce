#ifndef CHICORYLINK_MEMBERSHIP_LOAD_SUMMARY_HPP
#define CHICORYLINK_MEMBERSHIP_LOAD_SUMMARY_HPP

#include <cstdint>

namespace chicorylink::membership {

/// @brief The load of one VM, or the total of several.
struct load_summary {
    /// Requests in progress.
    std::uint32_t running = 0;
    /// Requests in its admission queues.
    std::uint32_t waiting = 0;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_LOAD_SUMMARY_HPP
