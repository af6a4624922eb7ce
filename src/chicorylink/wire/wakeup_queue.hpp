#ifndef CHICORYLINK_WIRE_WAKEUP_QUEUE_HPP
#define CHICORYLINK_WIRE_WAKEUP_QUEUE_HPP

#include "chicorylink/wire/file_descriptor.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <mutex>
#include <vector>

namespace chicorylink::wire {

/// @brief Tells the network thread which connections have something to send. Thread-safe.
class wakeup_queue {
public:
    wakeup_queue();

    /// @brief The file descriptor; readable after a notification until `take` is called.
    [[nodiscard]] int descriptor() const { return m_event.get(); }

    void notify(link_number number);

    /// @brief Wakes the network thread without naming a connection.
    void notify();

    /// @brief Returns the connections named since the last call; one may occur repeatedly.
    [[nodiscard]] std::vector<link_number> take();

private:
    void signal() const;

    file_descriptor m_event;
    std::mutex m_mutex;
    std::vector<link_number> m_links;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_WAKEUP_QUEUE_HPP
