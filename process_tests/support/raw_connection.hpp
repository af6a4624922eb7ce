#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_CONNECTION_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_CONNECTION_HPP

#include <chrono>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::process_tests {

/// @brief One response read from a raw connection, or what came in its place.
struct raw_reply {
    /// Zero if the connection ended, or the time, before the status line.
    int status = 0;
    /// Whether the whole response was read.
    bool complete = false;
    std::string bytes;
    /// Why no more was read; empty for a whole response.
    std::string problem;

    /// @brief Seconds of `Retry-After`; zero without it.
    [[nodiscard]] double retry_after_s() const;
};

/// @brief A caller's connection on which a test writes any bytes at any time.
class raw_connection {
public:
    /// @brief Connects; `is_open` tells whether that succeeded.
    raw_connection(const std::string& ip, int port);

    [[nodiscard]] bool is_open() const { return m_is_open; }
    [[nodiscard]] unsigned short local_port() const { return m_local_port; }

    /// @brief Writes bytes.
    /// @return False if the system refused some of them.
    bool send(std::string_view bytes);

    /// @brief Reads the next response.
    [[nodiscard]] raw_reply read(std::chrono::milliseconds timeout);

    /// @brief Whether the remote end has closed the connection or sent bytes that are not read.
    [[nodiscard]] bool has_news();

private:
    /// @brief Reads some bytes to `m_received`.
    /// @return Why none were read.
    std::string read_some(std::chrono::steady_clock::time_point until);

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket{m_loop};
    bool m_is_open = false;
    unsigned short m_local_port = 0;
    std::string m_received;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_RAW_CONNECTION_HPP
