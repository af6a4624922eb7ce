#include "chicorylink/dispatch/outcome.hpp"

namespace chicorylink::dispatch {

std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::not_run:
        return "not-run";
    case outcome::ran:
        return "ran";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace chicorylink::dispatch
