#include "chicorylink/config/effects.hpp"

#include <utility>

namespace chicorylink::config {

std::string_view to_string(event_kind kind)
{
    switch (kind) {
    case event_kind::version_in_force:
        return "version_in_force";
    case event_kind::version_rejected:
        return "version_rejected";
    case event_kind::service_lost:
        return "service_lost";
    case event_kind::service_back:
        return "service_back";
    case event_kind::service_behind:
        return "service_behind";
    case event_kind::content_corrupt:
        return "content_corrupt";
    case event_kind::ready:
        return "ready";
    case event_kind::catching_up:
        return "catching_up";
    }
    return "unknown";
}

void effects::post(base::vm_id to, message content)
{
    send.push_back({to, std::move(content)});
}

} // namespace chicorylink::config
