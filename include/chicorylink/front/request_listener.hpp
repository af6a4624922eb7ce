#ifndef CHICORYLINK_FRONT_REQUEST_LISTENER_HPP
#define CHICORYLINK_FRONT_REQUEST_LISTENER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/caller_connection.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief Accepts connections of callers or peers and owns them.
class request_listener {
public:
    request_listener(front_core& core, boost::asio::ip::tcp::acceptor acceptor,
                     connection_side side);
    ~request_listener();
    request_listener(const request_listener&) = delete;
    request_listener& operator=(const request_listener&) = delete;
    request_listener(request_listener&&) = delete;
    request_listener& operator=(request_listener&&) = delete;

    void tick(base::time_point now);
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }

    /// @brief Closes the listener after the connections that have arrived were accepted.
    /// @return How many these were.
    std::uint64_t stop_accepting();

    /// @brief Refuses all requests that are not complete, because the process is about to exit.
    void refuse_unfinished(base::time_point now);

    /// @brief Reads what has arrived on all connections without waiting for the event loop.
    void read_arrived();

    /// @brief Closes all connections because the process exits.
    void close_all(base::time_point now);

    /// @brief Whether an exit of the process now would cut off a connection in use.
    [[nodiscard]] bool is_busy(base::time_point now) const;

private:
    /// What becomes of the next connection that waits to be accepted.
    enum class admission { serve, refuse, wait };

    void accept();
    void accept_or_wait(base::time_point now);
    /// @brief Accepts connections that have arrived.
    /// @return False if the next one can't be taken now.
    bool accept_waiting(base::time_point now);
    /// @brief Accepts again after a failure, such as a lack of descriptors that would last.
    void accept_later();
    [[nodiscard]] admission admit(base::time_point now);
    /// @brief Ends the connection whose end costs its caller least.
    /// @return False if each has a request that is served or still comes in.
    bool make_room(base::time_point now);
    /// @brief The connection that has been idle for longest.
    [[nodiscard]] std::shared_ptr<caller_connection> longest_idle(base::time_point now) const;
    /// @brief The connection whose request has been incomplete for longest.
    [[nodiscard]] std::shared_ptr<caller_connection> most_stalled(base::time_point now) const;
    void log_full(base::time_point now);
    void add_connection(boost::asio::ip::tcp::socket socket, admission admitted);
    void on_closed(const caller_connection* key);
    /// @brief The connections; handling one may remove it from `m_connections`.
    [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> snapshot() const;

    front_core& m_core;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_accept_timer;
    connection_side m_side;
    /// An accepted connection for which there is no room yet.
    std::optional<boost::asio::ip::tcp::socket> m_next;
    bool m_is_full_logged = false;
    bool m_is_counted = false;
    std::unordered_map<const caller_connection*, std::shared_ptr<caller_connection>> m_connections;
    /// Closed connections that are still sending the rest of their last response.
    std::vector<std::weak_ptr<tcp_channel>> m_closing;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_LISTENER_HPP
