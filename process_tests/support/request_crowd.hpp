#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_REQUEST_CROWD_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_REQUEST_CROWD_HPP

#include <chrono>
#include <cstddef>
#include <list>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::process_tests {

/// @brief What one connection of a crowd sends: a beginning, a repeated piece and an end.
struct crowd_message {
    std::string begin;
    std::string piece;
    /// Bytes that are sent of repeated pieces, in whole pieces.
    std::size_t repeated_bytes = 0;
    std::string end;
};

/// @brief Many connections that send at once and stay open, driven by the test's thread.
class request_crowd {
public:
    explicit request_crowd(boost::asio::ip::tcp::endpoint to) : m_to(std::move(to)) {}

    /// @brief Opens a connection that will send a message.
    void add(crowd_message message);

    /// @brief Sends on all connections in turn, until each has sent its message or was closed, or
    /// none has taken a byte for the quiet time.
    void send_until_quiet(std::chrono::milliseconds quiet_time, std::chrono::seconds limit);

private:
    struct member {
        member(boost::asio::io_context& loop, crowd_message to_send);
        boost::asio::ip::tcp::socket socket;
        crowd_message message;
        /// A number of whole pieces, so that a send takes many of them.
        std::string block;
        std::size_t sent_bytes = 0;
        bool ended = false;
        [[nodiscard]] std::size_t total() const;
        [[nodiscard]] std::string_view next() const;
    };
    static std::size_t send_some(member& sender);

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::endpoint m_to;
    std::list<member> m_members;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_REQUEST_CROWD_HPP
