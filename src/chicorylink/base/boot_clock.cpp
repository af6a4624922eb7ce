#include "chicorylink/base/boot_clock.hpp"

#include <ctime>

namespace chicorylink::base {

time_point boot_now()
{
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point{std::chrono::seconds{read.tv_sec} + nanoseconds{read.tv_nsec}};
}

} // namespace chicorylink::base
