#include "chicorylink/base/boot_clock.hpp"

#include <ctime>

namespace chicorylink::base {

time_point boot_now()
{
    timespec uptime{};
    ::clock_gettime(CLOCK_BOOTTIME, &uptime);
    return time_point{std::chrono::seconds{uptime.tv_sec} + nanoseconds{uptime.tv_nsec}};
}

} // namespace chicorylink::base
