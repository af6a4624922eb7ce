#include "chicorylink/front/status_server.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/message_parser.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t max_head_bytes = 8UL * 1024;
constexpr std::uint64_t max_body_bytes = 4UL * 1024;

/// A client that sends requests and does not read this many bytes of the responses is cut off.
constexpr std::size_t max_unsent_bytes = 64UL * 1024;

/// A connection without a request for this long is closed. Callers send one about every second.
constexpr base::milliseconds idle_timeout{20'000};

std::string to_bytes(const status_response& response, bool keep_alive)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n{}",
                       response.status, reason_phrase(response.status), response.content_type,
                       response.body.size(), keep_alive ? "" : "Connection: close\r\n",
                       response.body);
}

std::unique_ptr<message_parser> request_parser()
{
    return std::make_unique<message_parser>(message_kind::request, max_head_bytes, max_body_bytes);
}

} // namespace

struct status_server::session {
    std::shared_ptr<tcp_channel> channel;
    std::unique_ptr<message_parser> parser = request_parser();
    base::time_point last_used_at{};
};

status_server::status_server(boost::asio::io_context& /*loop*/,
                             boost::asio::ip::tcp::acceptor acceptor, handler respond)
    : m_acceptor(std::move(acceptor)), m_respond(std::move(respond))
{
    accept();
}

status_server::~status_server()
{
    for (auto& [key, entry] : m_sessions) {
        entry->channel->close();
    }
}

void status_server::accept()
{
    m_acceptor.async_accept(
        [this](boost::system::error_code problem, boost::asio::ip::tcp::socket socket) {
            if (problem == boost::asio::error::operation_aborted) {
                return;
            }
            if (!problem) {
                add_session(std::move(socket));
            }
            accept();
        });
}

void status_server::add_session(boost::asio::ip::tcp::socket socket)
{
    auto entry = std::make_shared<session>();
    entry->channel = std::make_shared<tcp_channel>(std::move(socket));
    entry->last_used_at = base::boot_now();
    m_sessions.emplace(entry.get(), entry);
    entry->channel->start({[this, entry](std::string_view bytes) { on_data(entry, bytes); },
                           [this, entry](channel_end) { m_sessions.erase(entry.get()); },
                           {}});
}

void status_server::on_data(const std::shared_ptr<session>& client, std::string_view bytes)
{
    client->last_used_at = base::boot_now();
    client->parser->feed(bytes);
    respond_to_requests(client);
}

void status_server::respond_to_requests(const std::shared_ptr<session>& client)
{
    while (client->parser->is_complete()) {
        const auto head = client->parser->head();
        const auto rest = client->parser->take_remaining();
        if (client->channel->unsent() > max_unsent_bytes) {
            client->channel->abort();
            m_sessions.erase(client.get());
            return;
        }
        client->channel->send(to_bytes(m_respond(head), head.keep_alive));
        if (!head.keep_alive) {
            client->channel->close_after_sent();
            m_sessions.erase(client.get());
            return;
        }
        client->parser = request_parser();
        client->parser->feed(rest);
    }
    if (client->parser->problem() != parse_problem::none) {
        client->channel->send(to_bytes({400, "text/plain", "not a request\n"}, false));
        client->channel->close_after_sent();
        m_sessions.erase(client.get());
    }
}

void status_server::tick(base::time_point now)
{
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        const auto& channel = entry->second->channel;
        if (now - entry->second->last_used_at > idle_timeout && channel->unread() == 0) {
            channel->close();
            entry = m_sessions.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

void status_server::answer_arrived(boost::asio::io_context& loop)
{
    boost::system::error_code problem;
    m_acceptor.non_blocking(true, problem);
    while (!problem) {
        boost::asio::ip::tcp::socket socket(loop);
        m_acceptor.accept(socket, problem);
        if (!problem) {
            add_session(std::move(socket));
        }
    }
    std::vector<std::shared_ptr<session>> sessions;
    for (const auto& [key, entry] : m_sessions) {
        sessions.push_back(entry);
    }
    for (const auto& entry : sessions) {
        entry->channel->read_arrived();
    }
}

} // namespace chicorylink::front
