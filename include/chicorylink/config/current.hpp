#ifndef CHICORYLINK_CONFIG_CURRENT_HPP
#define CHICORYLINK_CONFIG_CURRENT_HPP

#include "chicorylink/rules/rulebook.hpp"

#include <memory>
#include <mutex>

namespace chicorylink::config {

/// @brief The rulebook in force, shared by all threads. It never goes back to an older version.
class current {
public:
    /// @brief The rulebook in force; null before the first.
    [[nodiscard]] std::shared_ptr<const rules::rulebook> get() const;

    /// @brief Puts a rulebook in force when it is newer than the present one.
    /// @return False when it is not newer; the present one stays.
    bool set(std::shared_ptr<const rules::rulebook> book);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const rules::rulebook> m_book;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_CURRENT_HPP
