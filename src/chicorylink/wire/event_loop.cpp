#include "chicorylink/wire/event_loop.hpp"

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/wire/connection.hpp"
#include "chicorylink/wire/connection_io.hpp"
#include "chicorylink/wire/socket.hpp"
#include "chicorylink/wire/tls_context.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <utility>

namespace chicorylink::wire {
namespace {

constexpr std::uint64_t listener_source = 0;
constexpr std::uint64_t wake_source = 1;
constexpr std::uint64_t first_link = 2;
constexpr std::size_t events_per_turn = 256;

/// Minimum time between checks of all connections.
constexpr base::milliseconds min_check_interval{50};
constexpr base::milliseconds max_poll_wait{1'000};

void watch(const file_descriptor& epoll, int operation, int descriptor, std::uint32_t events,
           std::uint64_t source)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = source;
    ::epoll_ctl(epoll.get(), operation, descriptor, &event);
}

} // namespace

event_loop::event_loop(network_settings settings, peer_handler handler, base::metrics& metrics,
                       file_descriptor listener, std::shared_ptr<const tls_context> tls)
    : m_settings(std::move(settings)), m_handler(std::move(handler)), m_metrics(metrics),
      m_listener(std::move(listener)), m_epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_tls(std::move(tls)), m_plan(m_settings.self, m_settings.seed, m_settings.limits),
      m_last_number(first_link), m_now(std::chrono::steady_clock::now()), m_next_check(m_now)
{
    watch(m_epoll, EPOLL_CTL_ADD, m_listener.get(), EPOLLIN, listener_source);
    watch(m_epoll, EPOLL_CTL_ADD, m_wake.descriptor(), EPOLLIN, wake_source);
}

event_loop::~event_loop()
{
    m_stop = true;
    m_wake.notify();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void event_loop::start()
{
    m_thread = std::thread{[this] { run(); }};
}

void event_loop::set_peers(std::vector<peer_address> peers)
{
    {
        const std::lock_guard lock{m_inbox_mutex};
        m_new_peers = std::move(peers);
    }
    m_wake.notify();
}

void event_loop::set_tls(std::shared_ptr<const tls_context> tls)
{
    const std::lock_guard lock{m_inbox_mutex};
    m_tls = std::move(tls);
}

void event_loop::run()
{
    std::array<epoll_event, events_per_turn> events{};
    while (!m_stop) {
        const int count = ::epoll_wait(m_epoll.get(), events.data(), events_per_turn, wait_time());
        m_now = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i) {
            const auto& event = events[static_cast<std::size_t>(i)];
            handle_io(event.data.u64, event.events);
        }
        take_new_peers();
        dial_due();
        if (m_now >= m_next_check) {
            check_connections();
        }
    }
    for (const auto& link : m_connections.all()) {
        write(link);
    }
}

int event_loop::wait_time() const
{
    const auto due = std::min(m_next_check, m_plan.next_due());
    const auto left = std::chrono::ceil<base::milliseconds>(due - m_now);
    return static_cast<int>(std::clamp(left, base::milliseconds{0}, max_poll_wait).count());
}

void event_loop::handle_io(std::uint64_t source, std::uint32_t ready)
{
    if (source == listener_source) {
        accept_all();
        return;
    }
    if (source == wake_source) {
        for (const auto number : m_wake.take()) {
            if (const auto link = m_connections.find(number)) {
                write(link);
            }
        }
        return;
    }
    if (const auto link = m_connections.find(link_number{source})) {
        handle_ready(link, ready);
    }
}

void event_loop::handle_ready(const connection_ptr& link, std::uint32_t ready)
{
    if (link->connecting) {
        finish_connect(link);
        return;
    }
    if ((ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read(link);
    }
    if (!link->closed) {
        write(link);
    }
}

void event_loop::take_new_peers()
{
    std::optional<std::vector<peer_address>> peers;
    {
        const std::lock_guard lock{m_inbox_mutex};
        peers = std::exchange(m_new_peers, std::nullopt);
    }
    if (!peers) {
        return;
    }
    for (const auto vm : m_plan.set_peers(*peers, m_now)) {
        for (const auto& link : m_connections.all()) {
            link->retired |= link->role == link_role::dialer && link->peer == vm;
        }
        m_connections.clear_active(vm);
    }
    m_next_check = m_now;
}

void event_loop::dial_due()
{
    if (m_plan.next_due() > m_now) {
        return;
    }
    for (const auto& peer : m_plan.take_due(m_now)) {
        dial(peer);
    }
}

void event_loop::dial(const peer_address& peer)
{
    const auto address = base::leaf::try_handle_all(
        [&]() -> base::result<std::optional<socket_address>> {
            return BOOST_LEAF_CHECK(parse_address(peer.address));
        },
        [] { return std::optional<socket_address>{}; });
    if (!address) {
        m_metrics.add("wire_bad_peer_addresses_total");
        m_plan.failed(peer.vm, m_now);
        return;
    }
    auto attempt = connect_to(*address);
    const auto link = make_connection(link_role::dialer, std::move(attempt.socket));
    link->peer = peer.vm;
    link->connecting = true;
    if (attempt.failure != 0) {
        m_metrics.add("wire_connects_failed_total");
        close(link);
        if (attempt.failure == ECONNREFUSED && m_handler.on_refused) {
            m_handler.on_refused(peer.vm);
        }
        return;
    }
    watch(m_epoll, EPOLL_CTL_ADD, link->socket.get(), EPOLLIN | EPOLLOUT, link->number.value());
    link->watches_writable = true;
}

void event_loop::accept_all()
{
    while (true) {
        auto socket = accept_from(m_listener);
        if (!socket.valid()) {
            return;
        }
        if (unidentified_connections() >= m_settings.limits.unidentified_connections) {
            m_metrics.add("wire_connections_over_limit_total");
            continue;
        }
        const auto link = make_connection(link_role::acceptor, std::move(socket));
        watch(m_epoll, EPOLL_CTL_ADD, link->socket.get(), EPOLLIN, link->number.value());
    }
}

void event_loop::finish_connect(const connection_ptr& link)
{
    const int failure = connect_error(link->socket);
    if (failure != 0) {
        m_metrics.add("wire_connects_failed_total");
        const auto peer = link->peer;
        close(link);
        if (failure == ECONNREFUSED && m_handler.on_refused) {
            m_handler.on_refused(peer);
        }
        return;
    }
    link->connecting = false;
    write(link);
}

event_loop::connection_ptr event_loop::make_connection(link_role role, file_descriptor socket)
{
    const link_number number{++m_last_number};
    auto link = std::make_shared<connection>(
        number, role,
        link_state{role, m_settings.self, m_settings.process, m_settings.limits, m_now});
    link->socket = std::move(socket);
    {
        const std::lock_guard lock{m_inbox_mutex};
        if (m_tls != nullptr) {
            link->tls = std::make_unique<tls_session>(*m_tls, role == link_role::dialer);
            link->needs_vm_name = m_tls->requires_vm_name();
        }
    }
    m_connections.add(link);
    m_next_check = std::min(m_next_check, m_now + m_settings.limits.handshake_timeout);
    return link;
}

void event_loop::read(const connection_ptr& link)
{
    std::vector<link_event> events;
    std::optional<base::error> failure;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> { return read_from(*link, m_now, events); },
        [&](const base::error& cause) { failure = cause; }, [&] { failure.emplace(); });
    for (auto& event : events) {
        if (!link->closed) {
            dispatch(link, event);
        }
    }
    after_progress(link);
    if (failure && !link->closed) {
        close_failed(link, *failure);
    }
}

void event_loop::write(const connection_ptr& link)
{
    std::optional<base::error> failure;
    base::leaf::try_handle_all([&]() -> base::result<void> { return write_to(*link, m_now); },
                               [&](const base::error& cause) { failure = cause; },
                               [&] { failure.emplace(); });
    if (failure) {
        close_failed(link, *failure);
        return;
    }
    if (!link->connecting && link->watches_writable != link->waits_for_writable) {
        link->watches_writable = link->waits_for_writable;
        watch(m_epoll, EPOLL_CTL_MOD, link->socket.get(),
              EPOLLIN | (link->watches_writable ? EPOLLOUT : 0U), link->number.value());
    }
    after_progress(link);
}

void event_loop::check_connections()
{
    auto next = m_now + max_poll_wait;
    for (const auto& link : m_connections.all()) {
        bool alive = false;
        bool idle = false;
        bool established = false;
        {
            const std::lock_guard lock{link->mutex};
            alive = link->state.check_time(m_now);
            idle = link->state.open_streams().empty();
            established = link->state.established();
            next = std::min(next, link->state.next_check());
        }
        if (!alive) {
            m_metrics.add(established ? "wire_links_silent_total"
                                      : "wire_handshakes_timed_out_total");
            close(link);
        }
        else if (idle && (link->retired || (established && !m_plan.knows(link->peer)))) {
            close(link);
        }
        else {
            write(link);
        }
    }
    m_next_check = std::max(next, m_now + min_check_interval);
}

std::size_t event_loop::unidentified_connections() const
{
    const auto all = m_connections.all();
    return static_cast<std::size_t>(std::ranges::count_if(all, [](const connection_ptr& link) {
        const std::lock_guard lock{link->mutex};
        return link->role == link_role::acceptor && !link->state.established();
    }));
}

} // namespace chicorylink::wire
