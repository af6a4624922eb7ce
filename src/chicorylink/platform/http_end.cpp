#include "chicorylink/platform/http_end.hpp"

namespace chicorylink::platform {

std::string_view to_string(http_end_kind kind)
{
    switch (kind) {
    case http_end_kind::complete:
        return "complete";
    case http_end_kind::refused:
        return "refused";
    case http_end_kind::not_connected:
        return "not_connected";
    case http_end_kind::broken:
        return "broken";
    case http_end_kind::timed_out:
        return "timed_out";
    case http_end_kind::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace chicorylink::platform
