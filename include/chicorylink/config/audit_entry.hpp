#ifndef CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP
#define CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/change.hpp"

namespace chicorylink::config {

/// @brief One change of the rules that came into force here. The caller adds the calendar time.
struct audit_entry {
    base::config_version older;
    base::config_version newer;
    /// Who asked for it, the line, the old and the new value.
    rules::change what;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_AUDIT_ENTRY_HPP
