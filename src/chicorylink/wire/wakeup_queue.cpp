#include "chicorylink/wire/wakeup_queue.hpp"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace chicorylink::wire {

wakeup_queue::wakeup_queue() : m_event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void wakeup_queue::notify(link_number number)
{
    {
        const std::lock_guard lock{m_mutex};
        if (!m_links.empty()) {
            if (m_links.back() != number) {
                m_links.push_back(number);
            }
            return;
        }
        m_links.push_back(number);
    }
    signal();
}

void wakeup_queue::notify()
{
    signal();
}

std::vector<link_number> wakeup_queue::take()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(m_event.get(), &count, sizeof(count));
    const std::lock_guard lock{m_mutex};
    return std::exchange(m_links, {});
}

void wakeup_queue::signal() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto size = ::write(m_event.get(), &one, sizeof(one));
}

} // namespace chicorylink::wire
