#include "chicorylink/fleet/store_watch.hpp"

#include "chicorylink/base/ids.hpp"

namespace chicorylink::fleet {

bool asks_store(const unconfirmed_vm& who, base::time_point now)
{
    if (who.is_delegate || !who.hears_delegate || who.hears_confirmed) {
        return true;
    }
    const auto window = static_cast<std::uint64_t>(now.time_since_epoch() / helper_window);
    const auto bits = base::hash_pair(base::hash_name(who.ip), window);
    return bits % who.region_vms < store_helpers;
}

} // namespace chicorylink::fleet
