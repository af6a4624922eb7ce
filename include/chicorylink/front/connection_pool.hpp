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

/// @brief The connections of this process to targets and peers, kept for later requests.
class connection_pool {
public:
    using connected = std::function<void(std::shared_ptr<tcp_channel>, std::string problem)>;

    explicit connection_pool(boost::asio::io_context& loop) : m_loop(loop) {}
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    /// @brief A kept connection that was used within `max_idle`; null without one.
    [[nodiscard]] std::shared_ptr<tcp_channel>
    take_kept(const std::string& address, base::milliseconds max_idle, base::time_point now);

    /// @brief Opens a connection. It counts as open until `forget` or `keep` and its end.
    void open(const std::string& address, base::milliseconds limit, connected done);

    /// @brief Keeps a connection whose last answer was whole.
    /// @param keep_time How long the other side keeps it when nothing is sent.
    void keep(const std::string& address, const std::shared_ptr<tcp_channel>& channel,
              base::milliseconds keep_time, base::time_point now);

    /// @brief A connection that was opened or taken is closed.
    void forget(const std::string& address);

    /// @brief Connections to an address, kept and in use.
    [[nodiscard]] std::size_t open_count(const std::string& address) const;
    [[nodiscard]] bool has_kept(const std::string& address) const;

    /// @brief Closes all kept connections to an address, whose owner changed or failed.
    void drop(const std::string& address);

    /// @brief Closes connections that were kept for as long as the other side allows.
    void tick(base::time_point now);

private:
    struct kept {
        std::shared_ptr<tcp_channel> channel;
        base::time_point since{};
        base::time_point until{};
    };
    struct place {
        std::vector<kept> idle;
        std::size_t open = 0;
    };

    void remove(const std::string& address, const tcp_channel* channel);

    boost::asio::io_context& m_loop;
    std::unordered_map<std::string, place> m_places;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_POOL_HPP
