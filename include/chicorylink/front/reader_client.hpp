#ifndef CHICORYLINK_FRONT_READER_CLIENT_HPP
#define CHICORYLINK_FRONT_READER_CLIENT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

class tcp_channel;

/// @brief What came of a read.
struct read_result {
    /// Zero when no whole answer came in time.
    int status = 0;
    std::string body;
    std::string problem;
    /// When the request was sent.
    base::time_point sent_at{};
};

/// @brief Reads from one address, one request at a time, over a kept connection.
class reader_client {
public:
    using done = std::function<void(const read_result&)>;

    reader_client(boost::asio::io_context& loop, std::string address);
    ~reader_client();
    reader_client(const reader_client&) = delete;
    reader_client& operator=(const reader_client&) = delete;
    reader_client(reader_client&&) = delete;
    reader_client& operator=(reader_client&&) = delete;

    /// @brief Sends a GET. A connection that does not answer within `limit` is closed.
    void get(std::string_view target, base::milliseconds limit, done to);

    [[nodiscard]] bool is_busy() const { return static_cast<bool>(m_done); }
    [[nodiscard]] const std::string& address() const { return m_address; }

private:
    void send(const std::string& bytes);
    void on_data(std::string_view bytes);
    void complete(const read_result& result);
    void close();

    boost::asio::io_context& m_loop;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    std::shared_ptr<tcp_channel> m_channel;
    std::unique_ptr<message_parser> m_parser;
    done m_done;
    base::time_point m_sent_at{};
    /// Tells answers to the present request from those of one that was given up.
    std::uint64_t m_request = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_READER_CLIENT_HPP
