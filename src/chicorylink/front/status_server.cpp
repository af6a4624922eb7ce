#include "chicorylink/front/status_server.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/message_parser.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t head_limit = 8UL * 1024;
constexpr std::uint64_t body_limit = 4UL * 1024;

/// A connection without a request for so long is closed. Callers ask about every second.
constexpr base::milliseconds idle_limit{20'000};

std::string to_bytes(const status_answer& answer, bool keep_alive)
{
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n{}",
                       answer.status, reason_of(answer.status), answer.content_type,
                       answer.body.size(), keep_alive ? "" : "Connection: close\r\n", answer.body);
}

std::unique_ptr<message_parser> request_parser()
{
    return std::make_unique<message_parser>(message_direction::request, head_limit, body_limit);
}

} // namespace

struct status_server::session {
    std::shared_ptr<tcp_channel> channel;
    std::unique_ptr<message_parser> parser = request_parser();
    base::time_point used_at{};
};

status_server::status_server(boost::asio::io_context& /*loop*/,
                             boost::asio::ip::tcp::acceptor acceptor, handler answer)
    : m_acceptor(std::move(acceptor)), m_answer(std::move(answer))
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
    m_acceptor.async_accept([this](boost::system::error_code problem,
                                   boost::asio::ip::tcp::socket socket) {
        if (problem == boost::asio::error::operation_aborted) {
            return;
        }
        if (!problem) {
            auto entry = std::make_shared<session>();
            entry->channel = std::make_shared<tcp_channel>(std::move(socket));
            entry->used_at = base::boot_now();
            m_sessions.emplace(entry.get(), entry);
            entry->channel->start({[this, entry](std::string_view bytes) { on_data(entry, bytes); },
                                   [this, entry](channel_end) { m_sessions.erase(entry.get()); },
                                   {}});
        }
        accept();
    });
}

void status_server::on_data(const std::shared_ptr<session>& from, std::string_view bytes)
{
    from->used_at = base::boot_now();
    from->parser->feed(bytes);
    answer_requests(from);
}

void status_server::answer_requests(const std::shared_ptr<session>& from)
{
    while (from->parser->is_complete()) {
        const auto head = from->parser->head();
        const auto rest = from->parser->take_rest();
        from->channel->send(to_bytes(m_answer(head), head.keep_alive));
        if (!head.keep_alive) {
            from->channel->close_after_sent();
            m_sessions.erase(from.get());
            return;
        }
        from->parser = request_parser();
        from->parser->feed(rest);
    }
    if (from->parser->problem() != parse_problem::none) {
        from->channel->send(to_bytes({400, "text/plain", "not a request\n"}, false));
        from->channel->close_after_sent();
        m_sessions.erase(from.get());
    }
}

void status_server::tick(base::time_point now)
{
    for (auto entry = m_sessions.begin(); entry != m_sessions.end();) {
        if (now - entry->second->used_at > idle_limit) {
            entry->second->channel->close();
            entry = m_sessions.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

} // namespace chicorylink::front
