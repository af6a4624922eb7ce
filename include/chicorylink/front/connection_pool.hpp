#ifndef CHICORYLINK_FRONT_CONNECTION_POOL_HPP
#define CHICORYLINK_FRONT_CONNECTION_POOL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace chicorylink::front {

/// @brief Connections to targets and peers; idle ones are kept for reuse.
class connection_pool {
public:
    using connect_handler = std::function<void(std::shared_ptr<tcp_channel>, std::string problem)>;

    explicit connection_pool(boost::asio::io_context& loop) : m_loop(loop) {}
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    /// @brief Takes an idle connection that was used within `max_idle`.
    /// @return Null if there is none.
    [[nodiscard]] std::shared_ptr<tcp_channel>
    take_idle(const std::string& address, base::milliseconds max_idle, base::time_point now);

    /// @brief Opens a connection. It counts as open until `note_closed`, or until it closes after
    /// `put_idle`. `done` is called from the loop, never from within `open`.
    void open(const std::string& address, base::milliseconds limit, connect_handler done);

    /// @brief Keeps a connection for reuse after a complete response.
    /// @param idle_timeout How long the remote end keeps an idle connection open, in milliseconds.
    void put_idle(const std::string& address, const std::shared_ptr<tcp_channel>& channel,
                  base::milliseconds idle_timeout, base::time_point now);

    /// @brief Records that a connection from `open` or `take_idle` is closed.
    void note_closed(const std::string& address);

    /// @brief Number of connections to an address, idle and in use.
    [[nodiscard]] std::size_t open_count(const std::string& address) const;
    [[nodiscard]] bool has_idle(const std::string& address) const;

    /// @brief Closes all idle connections to an address that failed or changed its owner.
    void close_idle(const std::string& address);

    /// @brief Closes idle connections that are about to reach the remote end's idle timeout.
    void tick(base::time_point now);

private:
    struct idle_connection {
        std::shared_ptr<tcp_channel> channel;
        base::time_point since{};
        base::time_point until{};
    };
    struct address_entry {
        std::vector<idle_connection> idle;
        std::size_t open = 0;
    };

    void remove(const std::string& address, const tcp_channel* channel);

    boost::asio::io_context& m_loop;
    std::unordered_map<std::string, address_entry> m_entries;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_POOL_HPP
