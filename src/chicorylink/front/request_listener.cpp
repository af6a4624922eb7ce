#include "chicorylink/front/request_listener.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/retry_after_delay.hpp"
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
constexpr int max_accepted_at_once = 64;

/// Beyond the places, one connection for so many of them is accepted to refuse its request. More of
/// them wait until one of these has its refusal.
constexpr std::size_t places_per_refusal = 8;

/// A request that comes in takes less time than this, unless its caller or the network stalls.
constexpr base::milliseconds stall_time{1000};

/// Time until the next accept after a failure. A lack of descriptors lasts until a connection ends.
constexpr base::milliseconds accept_retry_interval{50};

} // namespace

request_listener::request_listener(front_core& core, boost::asio::ip::tcp::acceptor acceptor,
                                   connection_side side)
    : m_core(core), m_acceptor(std::move(acceptor)), m_accept_timer(core.loop), m_side(side)
{
    m_acceptor.non_blocking(true);
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
    m_acceptor.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                          [this](boost::system::error_code problem) {
                              if (problem != boost::asio::error::operation_aborted) {
                                  accept_or_wait(base::boot_now());
                              }
                          });
}

void request_listener::accept_or_wait(base::time_point now)
{
    if (!m_acceptor.is_open()) {
        return;
    }
    if (accept_waiting(now)) {
        accept();
    }
    else {
        accept_later();
    }
}

bool request_listener::accept_waiting(base::time_point now)
{
    for (int accepted = 0; accepted < max_accepted_at_once; ++accepted) {
        if (!m_next) {
            boost::asio::ip::tcp::socket socket(m_core.loop);
            boost::system::error_code problem;
            m_acceptor.accept(socket, problem);
            if (problem == boost::asio::error::would_block) {
                return true;
            }
            if (problem) {
                write_log(m_core,
                          log_event(m_core, "accept_failed").add("reason", problem.message()));
                m_core.counters.add("accept_failures_total");
                return false;
            }
            m_next.emplace(std::move(socket));
        }
        const auto admitted = admit(now);
        if (admitted == admission::wait) {
            return false;
        }
        add_connection(std::move(*m_next), admitted);
        m_next.reset();
    }
    return true;
}

void request_listener::accept_later()
{
    m_accept_timer.expires_after(accept_retry_interval);
    m_accept_timer.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) {
            accept_or_wait(base::boot_now());
        }
    });
}

request_listener::admission request_listener::admit(base::time_point now)
{
    const auto places = max_connections(m_core);
    if (m_connections.size() < places) {
        return admission::serve;
    }
    if (!std::exchange(m_is_full_logged, true)) {
        log_full(now);
    }
    if (make_room(now)) {
        return admission::serve;
    }
    return m_connections.size() < places + places / places_per_refusal ? admission::refuse
                                                                       : admission::wait;
}

bool request_listener::make_room(base::time_point now)
{
    if (const auto idle = longest_idle(now)) {
        m_core.counters.add("unused_connections_closed_total");
        idle->close(connection_end::too_many_connections, now);
        return true;
    }
    if (const auto stalled = most_stalled(now)) {
        stalled->refuse_unfinished("too_many_connections", "too_many_connections",
                                   fleet::not_ready_retry_after, now);
        return true;
    }
    return false;
}

std::shared_ptr<caller_connection> request_listener::longest_idle(base::time_point now) const
{
    std::vector<std::shared_ptr<caller_connection>> candidates;
    for (const auto& [key, connection] : m_connections) {
        if (connection->has_read_nothing(now)) {
            candidates.push_back(connection);
        }
    }
    while (!candidates.empty()) {
        const auto oldest = std::min_element(
            candidates.begin(), candidates.end(),
            [](const auto& left, const auto& right) { return left->since() < right->since(); });
        // Asks the system for bytes that have arrived, so only of the connection that is chosen.
        if ((*oldest)->use(now) == connection_use::idle) {
            return *oldest;
        }
        candidates.erase(oldest);
    }
    return nullptr;
}

std::shared_ptr<caller_connection> request_listener::most_stalled(base::time_point now) const
{
    std::shared_ptr<caller_connection> most;
    for (const auto& [key, connection] : m_connections) {
        if (connection->has_unfinished_request() && now - connection->since() > stall_time &&
            (!most || connection->since() < most->since())) {
            most = connection;
        }
    }
    return most;
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

void request_listener::add_connection(boost::asio::ip::tcp::socket socket, admission admitted)
{
    auto channel = std::make_shared<tcp_channel>(std::move(socket));
    channel->count_unsent(m_core.response_bytes);
    auto connection = std::make_shared<caller_connection>(m_core, std::move(channel), m_side);
    const auto* key = connection.get();
    m_connections.emplace(key, connection);
    if (admitted == admission::refuse) {
        m_core.counters.add("connections_refused_total");
        connection->refuse_first_request();
    }
    connection->start([this, key] { on_closed(key); });
}

std::uint64_t request_listener::stop_accepting()
{
    // Closing the listener resets the connections in its backlog, so they are accepted first.
    boost::system::error_code problem;
    std::uint64_t accepted = 0;
    if (m_next) {
        ++accepted;
        add_connection(std::move(*m_next), admission::serve);
        m_next.reset();
    }
    while (!problem) {
        boost::asio::ip::tcp::socket socket(m_core.loop);
        m_acceptor.accept(socket, problem);
        if (!problem) {
            ++accepted;
            add_connection(std::move(socket), admission::serve);
        }
    }
    // At once: a connection that completes before the close is reset.
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    write_log(m_core, log_event(m_core, "listener_closed")
                          .add("from", to_string(m_side))
                          .add("accepted_at_last", accepted)
                          .add("reason", problem.message()));
    return accepted;
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

void request_listener::refuse_unfinished(base::time_point now)
{
    for (const auto& connection : snapshot()) {
        connection->refuse_if_ending(now);
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
