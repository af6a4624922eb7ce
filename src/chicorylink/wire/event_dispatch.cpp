#include "chicorylink/base/error.hpp"
#include "chicorylink/base/log.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/wire/connection.hpp"
#include "chicorylink/wire/event_loop.hpp"

#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace chicorylink::wire {
namespace {

using handler_ptr = std::shared_ptr<const stream_handler>;

handler_ptr handler_of(connection& link, stream_number stream)
{
    const std::lock_guard lock{link.mutex};
    const auto found = link.handlers.find(stream);
    return found == link.handlers.end() ? nullptr : found->second;
}

handler_ptr take_handler(connection& link, stream_number stream)
{
    const std::lock_guard lock{link.mutex};
    const auto node = link.handlers.extract(stream);
    return node.empty() ? nullptr : node.mapped();
}

template <class Function, class... Arguments>
void call(const Function& function, Arguments&&... arguments)
{
    if (function) {
        function(std::forward<Arguments>(arguments)...);
    }
}

std::string_view counter_of(base::error_kind kind)
{
    switch (kind) {
    case base::error_kind::not_allowed:
        return "wire_tls_refused_total";
    case base::error_kind::invalid_message:
        return "wire_protocol_errors_total";
    default:
        return "wire_links_lost_total";
    }
}

} // namespace

void event_loop::dispatch(const connection_ptr& link, link_event& event)
{
    switch (event.type) {
    case link_event::content::hello:
        if (!handle_hello(link, event)) {
            m_metrics.add("wire_strangers_refused_total");
            close(link);
        }
        return;
    case link_event::content::control:
        call(m_handler.on_control, link->peer, link->state.peer_process(), event.channel,
             std::span<const std::uint8_t>{event.payload});
        return;
    case link_event::content::opened:
        dispatch_open(link, event);
        return;
    case link_event::content::data:
        if (const auto handler = handler_of(*link, event.stream)) {
            call(handler->on_data, std::span<const std::uint8_t>{event.payload});
        }
        return;
    case link_event::content::ended:
        if (const auto handler = handler_of(*link, event.stream)) {
            call(handler->on_end);
        }
        return;
    case link_event::content::reset:
        if (const auto handler = take_handler(*link, event.stream)) {
            call(handler->on_reset, event.reason);
        }
        return;
    }
}

void event_loop::dispatch_open(const connection_ptr& link, const link_event& event)
{
    {
        const std::lock_guard lock{link->mutex};
        link->handlers.emplace(event.stream, std::make_shared<const stream_handler>());
    }
    stream_handler handler;
    if (m_handler.on_open) {
        handler = m_handler.on_open(link->peer, link->state.peer_process(),
                                    {link->number, event.stream}, event.payload);
    }
    const std::lock_guard lock{link->mutex};
    const auto found = link->handlers.find(event.stream);
    if (found != link->handlers.end()) {
        found->second = std::make_shared<const stream_handler>(std::move(handler));
    }
}

bool event_loop::handle_hello(const connection_ptr& link, const link_event& event)
{
    if (link->needs_vm_name && base::id_of<base::vm_id>(link->tls->peer_name()) != event.vm) {
        return false;
    }
    if (link->role == link_role::dialer) {
        if (event.vm != link->peer) {
            return false;
        }
        m_plan.connected(event.vm);
        if (link->retired) {
            return true;
        }
        m_connections.use(event.vm, link);
        call(m_handler.on_connected, event.vm, event.process);
        return true;
    }
    if (!m_plan.knows(event.vm)) {
        return false;
    }
    link->peer = event.vm;
    close_older_connections(link);
    const std::lock_guard lock{link->mutex};
    link->state.accept_peer();
    return true;
}

void event_loop::close_older_connections(const connection_ptr& link)
{
    // A process keeps one connection to each peer, so the peer has already lost an older one.
    for (const auto& other : m_connections.all()) {
        if (other != link && other->role == link_role::acceptor && other->peer == link->peer &&
            other->state.established()) {
            close(other);
        }
    }
}

void event_loop::after_progress(const connection_ptr& link)
{
    std::vector<handler_ptr> writable;
    {
        const std::lock_guard lock{link->mutex};
        for (const auto stream : link->state.take_finished()) {
            link->handlers.erase(stream);
        }
        for (const auto stream : link->state.take_writable()) {
            const auto found = link->handlers.find(stream);
            if (found != link->handlers.end()) {
                writable.push_back(found->second);
            }
        }
    }
    for (const auto& handler : writable) {
        call(handler->on_writable);
    }
    report_counts(*link);
}

void event_loop::report_counts(connection& link)
{
    const auto counts = link.state.counts();
    const auto add = [&](std::string_view name, std::uint64_t value, std::uint64_t& reported) {
        if (value != reported) {
            m_metrics.add(name, value - reported);
            reported = value;
        }
    };
    add("wire_frames_dropped_total{cause=\"incarnation\"}", counts.other_incarnation,
        link.reported.other_incarnation);
    add("wire_frames_dropped_total{cause=\"unknown_stream\"}", counts.unknown_stream,
        link.reported.unknown_stream);
    add("wire_frames_dropped_total{cause=\"repeated_open\"}", counts.repeated_open,
        link.reported.repeated_open);
    add("wire_streams_refused_total", counts.refused_open, link.reported.refused_open);
}

void event_loop::close_failed(const connection_ptr& link, const base::error& failure)
{
    m_metrics.add(counter_of(failure.kind));
    if (failure.kind != base::error_kind::io) {
        base::log(base::log_level::warning, "peer_link_closed",
                  {{"kind", base::to_string(failure.kind)}, {"error", base::describe(failure)}});
    }
    close(link);
}

void event_loop::close(const connection_ptr& link)
{
    if (link->closed) {
        return;
    }
    link->closed = true;
    m_connections.remove(link->number);
    link->socket.close();
    decltype(link->handlers) handlers;
    bool established = false;
    {
        const std::lock_guard lock{link->mutex};
        link->lost = true;
        handlers.swap(link->handlers);
        established = link->state.established();
    }
    for (const auto& [stream, handler] : handlers) {
        call(handler->on_lost);
    }
    if (link->role == link_role::acceptor || link->retired) {
        return;
    }
    m_plan.failed(link->peer, m_now);
    if (established) {
        call(m_handler.on_disconnected, link->peer);
    }
}

} // namespace chicorylink::wire
