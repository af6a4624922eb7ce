#ifndef CHICORYLINK_CONFIG_CURRENT_HPP
#define CHICORYLINK_CONFIG_CURRENT_HPP

#include "chicorylink/rules/rulebook.hpp"

#include <memory>
#include <mutex>

namespace chicorylink::config {

/// @brief Holds the rulebook in force for all threads. The version never decreases.
class current {
public:
    /// @brief Returns the rulebook in force, or null when none has been set.
    [[nodiscard]] std::shared_ptr<const rules::rulebook> get() const;

    /// @brief Replaces the rulebook in force if the given one is newer.
    /// @return False when it is not newer; the current one stays.
    bool set(std::shared_ptr<const rules::rulebook> book);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const rules::rulebook> m_book;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_CURRENT_HPP
