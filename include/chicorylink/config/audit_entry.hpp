#ifndef CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP
#define CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/change.hpp"

namespace chicorylink::config {

/// @brief One rule change that took effect in this process. The caller adds the calendar time.
struct audit_entry {
    base::config_version older;
    base::config_version newer;
    /// Who requested it, the line, and the old and new values.
    rules::change what;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP
