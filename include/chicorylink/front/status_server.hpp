#ifndef CHICORYLINK_FRONT_STATUS_SERVER_HPP
#define CHICORYLINK_FRONT_STATUS_SERVER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_head.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::front {

class tcp_channel;
class message_parser;

/// @brief A short response that is not streamed.
struct status_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// @brief Serves short requests: readiness, the directory, metrics and item copies for peers.
class status_server {
public:
    using handler = std::function<status_response(const message_head&)>;

    status_server(boost::asio::io_context& loop, boost::asio::ip::tcp::acceptor acceptor,
                  handler respond);
    ~status_server();
    status_server(const status_server&) = delete;
    status_server& operator=(const status_server&) = delete;
    status_server(status_server&&) = delete;
    status_server& operator=(status_server&&) = delete;

    /// @brief Closes idle connections.
    void tick(base::time_point now);

    /// @brief Accepts and answers what has arrived without waiting for the event loop.
    void answer_arrived(boost::asio::io_context& loop);

private:
    struct session;

    void accept();
    void add_session(boost::asio::ip::tcp::socket socket);
    void on_data(const std::shared_ptr<session>& client, std::string_view bytes);
    void respond_to_requests(const std::shared_ptr<session>& client);

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_respond;
    std::map<const session*, std::shared_ptr<session>> m_sessions;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STATUS_SERVER_HPP
