#include "chicorylink/front/request_listener.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/connection_counts.hpp"
#include "chicorylink/front/front_core.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chicorylink::front {
namespace {

/// Connections that are accepted before others are served. With one at a time, callers would wait
/// a round of the event loop for each caller before them.
constexpr std::uint64_t max_accepted_at_once = 64;

/// Time until the next accept after a failure. A lack of descriptors lasts until a connection ends.
constexpr base::milliseconds accept_retry_interval{50};

} // namespace

request_listener::request_listener(front_core& core, boost::asio::ip::tcp::acceptor acceptor,
                                   connection_side side)
    : m_core(core), m_acceptor(std::move(acceptor)), m_accept_timer(core.loop), m_side(side)
{
    accept();
}

request_listener::~request_listener()
{
    close_all(base::boot_now());
}

void request_listener::close_all(base::time_point now)
{
    const auto connections = std::exchange(m_connections, {});
    std::uint64_t with_bytes = 0;
    for (const auto& [key, connection] : connections) {
        with_bytes += connection->close(connection_end::process_exit, now) ? 1 : 0;
    }
    if (!connections.empty()) {
        write_log(m_core, log_event(m_core, "connections_closed")
                              .add("from", to_string(m_side))
                              .add("connections", std::uint64_t{connections.size()})
                              .add("with_unanswered_bytes", with_bytes));
    }
    if (!std::exchange(m_is_counted, true)) {
        auto line = log_event(m_core, "connection_counts");
        line.add("from", to_string(m_side));
        add_connection_counts(line, m_core.counters, m_side);
        write_log(m_core, line);
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
            m_core.counters.add("accept_failures_total");
            accept_later();
            return;
        }
        if (make_room(base::boot_now())) {
            add_connection(std::move(socket));
        }
        accept_waiting(max_accepted_at_once);
        accept();
    });
}

std::uint64_t request_listener::accept_waiting(std::uint64_t most)
{
    std::uint64_t accepted = 0;
    boost::system::error_code problem;
    m_acceptor.non_blocking(true, problem);
    while (!problem && accepted < most) {
        boost::asio::ip::tcp::socket socket(m_core.loop);
        m_acceptor.accept(socket, problem);
        if (problem) {
            break;
        }
        ++accepted;
        if (make_room(base::boot_now())) {
            add_connection(std::move(socket));
        }
    }
    return accepted;
}

void request_listener::accept_later()
{
    m_accept_timer.expires_after(accept_retry_interval);
    m_accept_timer.async_wait([this](boost::system::error_code stopped) {
        if (!stopped && m_acceptor.is_open()) {
            accept();
        }
    });
}

bool request_listener::make_room(base::time_point now)
{
    if (m_connections.size() < max_connections(m_core)) {
        return true;
    }
    std::shared_ptr<caller_connection> oldest;
    std::optional<base::time_point> since;
    for (const auto& [key, connection] : m_connections) {
        const auto unused = connection->unused_since();
        if (unused && (!since || *unused < *since)) {
            oldest = connection;
            since = unused;
        }
    }
    if (!std::exchange(m_is_full_logged, true)) {
        log_full(now);
    }
    if (!oldest) {
        m_core.counters.add("connections_refused_total");
        return false;
    }
    m_core.counters.add("unused_connections_closed_total");
    oldest->close(connection_end::too_many_connections, now);
    return true;
}

void request_listener::log_full(base::time_point now)
{
    std::map<connection_use, std::uint64_t> by_use;
    for (const auto& [key, connection] : m_connections) {
        ++by_use[connection->use(now)];
    }
    auto line = log_event(m_core, "connections_full");
    line.add("from", to_string(m_side));
    line.add("connections", std::uint64_t{m_connections.size()});
    for (const auto use : all_connection_uses) {
        line.add(to_string(use), by_use[use]);
    }
    write_log(m_core, line);
}

void request_listener::add_connection(boost::asio::ip::tcp::socket socket)
{
    auto channel = std::make_shared<tcp_channel>(std::move(socket));
    channel->count_unsent(m_core.response_bytes);
    auto connection = std::make_shared<caller_connection>(m_core, std::move(channel), m_side);
    const auto* key = connection.get();
    m_connections.emplace(key, connection);
    connection->start([this, key] { on_closed(key); });
}

void request_listener::stop_accepting()
{
    // Closing the listener resets the connections in its backlog, so they are accepted first.
    boost::system::error_code problem;
    m_acceptor.non_blocking(true, problem);
    std::uint64_t accepted = 0;
    while (!problem) {
        boost::asio::ip::tcp::socket socket(m_core.loop);
        m_acceptor.accept(socket, problem);
        if (!problem) {
            ++accepted;
            add_connection(std::move(socket));
        }
    }
    // At once: a connection that completes before the close is reset.
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    write_log(m_core, log_event(m_core, "listener_closed")
                          .add("from", to_string(m_side))
                          .add("accepted_at_last", accepted)
                          .add("reason", problem.message()));
}

void request_listener::on_closed(const caller_connection* key)
{
    const auto found = m_connections.find(key);
    if (found == m_connections.end()) {
        return;
    }
    if (const auto& channel = found->second->channel(); channel->unsent() > 0) {
        m_closing.push_back(channel);
    }
    m_connections.erase(found);
}

bool request_listener::is_busy(base::time_point now) const
{
    const bool is_sending =
        std::any_of(m_closing.begin(), m_closing.end(), [](const auto& closing) {
            const auto channel = closing.lock();
            return channel && channel->is_open() && channel->unsent() > 0;
        });
    return is_sending ||
           std::any_of(m_connections.begin(), m_connections.end(), [&](const auto& entry) {
               return entry.second->use(now) != connection_use::idle;
           });
}

void request_listener::tick(base::time_point now)
{
    std::erase_if(m_closing, [](const auto& closing) {
        const auto channel = closing.lock();
        return !channel || !channel->is_open() || channel->unsent() == 0;
    });
    for (const auto& connection : snapshot()) {
        connection->tick(now);
    }
    // Logged again only after a tenth of the places was free.
    if (m_is_full_logged && m_connections.size() < max_connections(m_core) / 10 * 9) {
        m_is_full_logged = false;
        write_log(m_core, log_event(m_core, "connections_freed")
                              .add("from", to_string(m_side))
                              .add("connections", std::uint64_t{m_connections.size()}));
    }
}

void request_listener::read_arrived()
{
    for (const auto& connection : snapshot()) {
        connection->read_arrived();
    }
}

std::vector<std::shared_ptr<caller_connection>> request_listener::snapshot() const
{
    std::vector<std::shared_ptr<caller_connection>> connections;
    connections.reserve(m_connections.size());
    for (const auto& [key, connection] : m_connections) {
        connections.push_back(connection);
    }
    return connections;
}

} // namespace chicorylink::front
