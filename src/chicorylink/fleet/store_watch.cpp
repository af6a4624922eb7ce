#include "chicorylink/fleet/store_watch.hpp"

#include "chicorylink/base/ids.hpp"

namespace chicorylink::fleet {

bool should_query_store(const unconfirmed_vm& vm, base::time_point now)
{
    if (vm.is_delegate || !vm.hears_delegate || vm.hears_confirmed) {
        return true;
    }
    const auto window = static_cast<std::uint64_t>(now.time_since_epoch() / store_reader_window);
    const auto bits = base::hash_pair(base::hash_name(vm.ip), window);
    return bits % vm.region_vms < store_readers_per_window;
}

} // namespace chicorylink::fleet
