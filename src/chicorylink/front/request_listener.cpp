#include "chicorylink/front/request_listener.hpp"

#include "chicorylink/front/front_core.hpp"

#include <utility>
#include <vector>

namespace chicorylink::front {

request_listener::request_listener(front_core& core, boost::asio::ip::tcp::acceptor acceptor,
                                   connection_side side)
    : m_core(core), m_acceptor(std::move(acceptor)), m_side(side)
{
    accept();
}

request_listener::~request_listener()
{
    for (auto& [key, connection] : std::exchange(m_connections, {})) {
        connection->close();
    }
}

void request_listener::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code problem,
                                   boost::asio::ip::tcp::socket socket) {
        if (problem == boost::asio::error::operation_aborted) {
            return;
        }
        if (problem) {
            write_log(m_core, log_event(m_core, "accept_failed").add("reason", problem.message()));
        }
        else {
            auto connection = std::make_shared<caller_connection>(
                m_core, std::make_shared<tcp_channel>(std::move(socket)), m_side);
            const auto* key = connection.get();
            m_connections.emplace(key, connection);
            connection->start([this, key] { m_connections.erase(key); });
        }
        accept();
    });
}

void request_listener::tick(base::time_point now)
{
    std::vector<std::shared_ptr<caller_connection>> all;
    all.reserve(m_connections.size());
    for (const auto& [key, connection] : m_connections) {
        all.push_back(connection);
    }
    for (const auto& connection : all) {
        connection->tick(now);
    }
}

} // namespace chicorylink::front
