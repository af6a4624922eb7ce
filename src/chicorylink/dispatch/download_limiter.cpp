#include "chicorylink/dispatch/download_limiter.hpp"

#include <algorithm>

namespace chicorylink::dispatch {
namespace {

constexpr double nanoseconds_per_second = 1e9;

} // namespace

bool download_limiter::try_start(base::target_id target, const std::string& model, base::bytes size,
                                 std::size_t vm_count, base::time_point now)
{
    if (is_downloading(target) || now < m_busy_until || m_rate.value() <= 0) {
        return false;
    }
    const double share = static_cast<double>(m_rate.value()) /
                         static_cast<double>(std::max<std::size_t>(vm_count, 1));
    const double duration = static_cast<double>(size.value()) / share * nanoseconds_per_second;
    m_busy_until = now + base::nanoseconds{static_cast<std::int64_t>(duration)};
    m_downloading.emplace(target, model);
    return true;
}

void download_limiter::finish(base::target_id target)
{
    m_downloading.erase(target);
}

} // namespace chicorylink::dispatch
