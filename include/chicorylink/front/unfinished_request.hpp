#ifndef CHICORYLINK_FRONT_UNFINISHED_REQUEST_HPP
#define CHICORYLINK_FRONT_UNFINISHED_REQUEST_HPP

#include "chicorylink/front/request_memory.hpp"

#include <memory>
#include <utility>

namespace chicorylink::front {

/// @brief The bytes of a connection's unfinished request in the count of all; none after its end.
class unfinished_request {
public:
    explicit unfinished_request(std::shared_ptr<request_memory> all)
        : m_all(std::move(all)), m_key(m_all->open())
    {
    }
    ~unfinished_request() { m_all->close(m_key); }
    unfinished_request(const unfinished_request&) = delete;
    unfinished_request& operator=(const unfinished_request&) = delete;
    unfinished_request(unfinished_request&&) = delete;
    unfinished_request& operator=(unfinished_request&&) = delete;

    void set(std::size_t bytes, base::time_point now) { m_all->set_unfinished(m_key, bytes, now); }
    void note_paused(base::time_point now) { m_all->note_paused(m_key, now); }
    base::milliseconds note_resumed(base::time_point now)
    {
        return m_all->note_resumed(m_key, now);
    }
    [[nodiscard]] bool is_paused() const { return m_all->is_paused(m_key); }
    [[nodiscard]] unfinished_key key() const { return m_key; }

private:
    std::shared_ptr<request_memory> m_all;
    unfinished_key m_key;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_UNFINISHED_REQUEST_HPP
