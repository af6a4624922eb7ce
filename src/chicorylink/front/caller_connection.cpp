#include "chicorylink/front/caller_connection.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/connection_counts.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/retry_after.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

/// Ends a chunked body without trailers.
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// How long idle connections between VMs are kept; sent to peers in `Keep-Alive`.
constexpr base::milliseconds peer_idle_timeout{30'000};

/// A new caller sends its first request within about this time: a round trip to callers plus the
/// time that a loaded VM takes to read it.
constexpr base::milliseconds first_request_window{300};

/// Idle connections are closed this long after their timeout, because the remote end measures
/// the timeout as well.
constexpr base::milliseconds idle_margin{500};

std::optional<base::config_version> forwarded_version(const message_head& head)
{
    const auto* text = find_field(head.fields, forwarded_field);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text->data(), text->data() + text->size(), value);
    return base::config_version{value};
}

} // namespace

caller_connection::caller_connection(front_core& core, std::shared_ptr<tcp_channel> channel,
                                     connection_side side)
    : m_core(core), m_channel(std::move(channel)), m_side(side),
      m_held_pipelined(core.request_bytes), m_unfinished(core.request_bytes)
{
    reset_parser();
}

caller_connection::~caller_connection()
{
    m_core.readers.connections.erase(m_unfinished.key());
}

void caller_connection::reset_parser()
{
    m_limits = limits_of(m_core);
    m_partial_bytes = 0;
    // A forwarding VM adds a few fields to those its caller sent.
    constexpr std::size_t peer_header_bytes = 1024;
    const auto extra = m_side == connection_side::peer ? peer_header_bytes : 0;
    m_parser = std::make_unique<message_parser>(message_kind::request,
                                                m_limits.header_bytes + extra, m_limits.body_bytes);
}

void caller_connection::start(std::function<void()> on_closed)
{
    m_on_closed = std::move(on_closed);
    m_timeout_start = base::boot_now();
    count_accepted(m_core.counters, m_side);
    m_core.readers.connections.emplace(m_unfinished.key(), weak_from_this());
    m_channel->start({[self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                      [self = shared_from_this()](channel_end end) { self->on_end(end); },
                      [self = shared_from_this()] { self->on_sent(); },
                      [all = m_core.request_bytes] { return all->read_allowance(); }});
}

void caller_connection::begin_request()
{
    if (m_parser->problem() != parse_problem::none) {
        reject_invalid_request();
        return;
    }
    if (!m_parser->is_complete()) {
        return;
    }
    incoming_request incoming;
    incoming.head = m_parser->head();
    incoming.body = m_parser->take_body();
    incoming.arrived_at = base::boot_now();
    m_pipelined = m_parser->take_remaining();
    m_held_pipelined.set(m_pipelined.size());
    m_has_received_request = true;
    m_close_after_response = !incoming.head.keep_alive || m_is_beyond_places;
    incoming.is_beyond_places = m_is_beyond_places;
    if (const auto* id = find_field(incoming.head.fields, m_core.protocol.names.request_id)) {
        incoming.id = *id;
    }
    if (m_side == connection_side::peer) {
        incoming.forwarder_version = forwarded_version(incoming.head);
        incoming.from_known_vm = m_core.members.find(m_channel->remote_ip()) != nullptr;
        if (!incoming.from_known_vm) {
            m_core.counters.add("requests_of_unknown_peers_total");
        }
    }
    m_exchange = std::make_shared<exchange>(m_core, *this, std::move(incoming));
    const auto current = m_exchange;
    current->begin(base::boot_now());
}

void caller_connection::reject_invalid_request()
{
    refusal cause{bad_request_status, "malformed_request", std::nullopt};
    if (m_parser->problem() == parse_problem::header_too_large) {
        cause = {fields_too_large_status, "head_too_large", std::nullopt};
    }
    else if (m_parser->problem() == parse_problem::body_too_large) {
        cause = {content_too_large_status, "body_too_large", std::nullopt};
    }
    m_core.counters.add("unreadable_requests_total");
    write_log(m_core, log_event(m_core, "unreadable_request").add("reason", cause.reason));
    m_close_after_response = true;
    refuse(cause, outcome_not_run);
}

bool caller_connection::keeps_open() const
{
    // Requests that were read behind this one are answered before the connection closes.
    return !m_close_after_response && (!m_core.leaving_since || !m_pipelined.empty());
}

void caller_connection::begin_response(int status, std::string_view reason,
                                       const header_fields& fields,
                                       std::optional<std::uint64_t> length)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    append_fields(head, fields);
    m_is_chunked = !length.has_value();
    if (length) {
        append_field(head, "Content-Length", std::to_string(*length));
    }
    else {
        append_field(head, "Transfer-Encoding", "chunked");
    }
    if (!keeps_open()) {
        append_field(head, "Connection", "close");
        m_close_after_response = true;
    }
    else {
        const auto idle_time =
            m_side == connection_side::peer ? peer_idle_timeout : limits_of(m_core).idle_time;
        const auto announced = std::chrono::floor<std::chrono::seconds>(idle_time);
        if (announced.count() > 0) {
            append_field(head, "Keep-Alive", fmt::format("timeout={}", announced.count()));
            m_announced_idle_time = announced;
        }
    }
    head.append("\r\n");
    m_channel->send(head);
}

void caller_connection::send_body(std::string_view piece)
{
    if (piece.empty()) {
        return;
    }
    if (m_is_chunked) {
        // Kept between calls, because copies of 64 KB fragment the heap beside the send buffers.
        static std::string chunk;
        chunk.clear();
        fmt::format_to(std::back_inserter(chunk), "{:x}\r\n{}\r\n", piece.size(), piece);
        m_channel->send(chunk);
    }
    else {
        m_channel->send(piece);
    }
}

void caller_connection::end_response()
{
    if (m_is_chunked) {
        m_channel->send(last_chunk);
    }
    next_request();
}

void caller_connection::abort_response()
{
    m_exchange = nullptr;
    m_channel->abort();
    notify_closed(connection_end::cut, connection_use::serving);
}

void caller_connection::refuse(const refusal& cause, std::string_view outcome)
{
    header_fields fields{{"Content-Type", "application/json"}};
    // Carries the request id, so that another VM can't mistake a late refusal for the response to
    // its next request.
    if (m_exchange && !m_exchange->request_id().empty()) {
        fields.push_back({m_core.protocol.names.request_id, m_exchange->request_id()});
    }
    else if (const auto* id = find_field(m_parser->head().fields, m_core.protocol.names.request_id);
             m_parser->has_head() && id != nullptr) {
        fields.push_back({m_core.protocol.names.request_id, *id});
    }
    if (cause.retry_after) {
        const double seconds = static_cast<double>(cause.retry_after->count()) / 1000;
        fields.push_back({std::string{retry_after_field}, fmt::format("{:.3f}", seconds)});
    }
    if (m_side == connection_side::peer) {
        fields.push_back({std::string{outcome_field}, std::string{outcome}});
    }
    const auto body = fmt::format("{{\"error\":\"{}\"}}\n", cause.reason);
    begin_response(cause.status, reason_phrase(cause.status), fields, body.size());
    send_body(body);
    end_response();
}

void caller_connection::next_request()
{
    m_exchange = nullptr;
    m_timeout_start = base::boot_now();
    if (m_close_after_response) {
        const auto last_use = m_pipelined.empty() ? connection_use::idle : connection_use::arriving;
        m_channel->close_after_sent();
        notify_closed(connection_end::last_response, last_use);
        return;
    }
    reset_parser();
    if (m_pipelined.empty()) {
        m_channel->resume_reading();
        return;
    }
    // Posted to the loop, so that pipelined requests don't recurse.
    boost::asio::post(m_core.loop, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_is_closed && !self->m_exchange) {
            self->parse_pipelined();
            self->resume_after_pipelined();
        }
    });
}

void caller_connection::on_end(channel_end end)
{
    const auto keep_alive = shared_from_this();
    const auto now = base::boot_now();
    const auto last_use = use(now);
    if (m_parser->has_begun() && !m_exchange) {
        m_core.counters.add("partial_requests_ended_total");
        if (end == channel_end::broken) {
            write_log(m_core, describe("broken", now));
        }
    }
    if (const auto current = std::exchange(m_exchange, nullptr)) {
        current->on_caller_disconnected(now);
    }
    notify_closed(connection_end::remote, last_use);
}

void caller_connection::on_sent()
{
    if (m_exchange) {
        m_exchange->on_caller_drained();
    }
}

void caller_connection::notify_closed(connection_end end, connection_use last_use)
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    count_ended(m_core.counters, m_side, end, last_use);
    if (const auto callback = std::exchange(m_on_closed, nullptr)) {
        callback();
    }
}

base::log_line caller_connection::describe(std::string_view cause, base::time_point now) const
{
    auto line = log_event(m_core, "connection_closed");
    line.add("cause", cause);
    line.add("from", to_string(m_side));
    line.add("use", to_string(use(now)));
    line.add("is_first", !m_has_received_request).add("is_serving", m_exchange != nullptr);
    line.add("partial_bytes", std::uint64_t{m_partial_bytes});
    line.add("pipelined_bytes", std::uint64_t{m_pipelined.size()});
    line.add("unread_bytes", std::uint64_t{m_channel->unread()});
    line.add("waited_ms",
             std::chrono::duration_cast<base::milliseconds>(now - m_timeout_start).count());
    line.add("idle_limit_ms", m_limits.idle_time.count());
    line.add("idle_limit_in_force_ms", limits_of(m_core).idle_time.count());
    return line;
}

bool caller_connection::close(connection_end cause, base::time_point now)
{
    const auto keep_alive = shared_from_this();
    const auto last_use = use(now);
    const bool has_bytes = m_parser->has_begun() || !m_pipelined.empty() || m_channel->unread() > 0;
    const bool has_new_limits =
        cause == connection_end::idle && m_limits.idle_time != limits_of(m_core).idle_time;
    if (has_bytes || has_new_limits) {
        write_log(m_core, describe(to_string(cause), now));
    }
    if (const auto current = std::exchange(m_exchange, nullptr)) {
        current->on_caller_disconnected(now);
    }
    m_channel->close();
    notify_closed(cause, last_use);
    return has_bytes;
}

bool caller_connection::is_serving() const
{
    return m_exchange || !m_pipelined.empty() || m_channel->unsent() > 0;
}

bool caller_connection::is_new(base::time_point now) const
{
    return !m_has_received_request && now - m_timeout_start < first_request_window;
}

bool caller_connection::has_unfinished_request() const
{
    return !m_is_closed && !is_serving() && m_parser->has_begun();
}

bool caller_connection::has_read_nothing(base::time_point now) const
{
    return !m_is_closed && !is_serving() && !m_parser->has_begun() && !is_new(now);
}

connection_use caller_connection::use(base::time_point now) const
{
    if (is_serving()) {
        return connection_use::serving;
    }
    if (m_parser->has_begun() || m_channel->unread() > 0) {
        return connection_use::arriving;
    }
    return is_new(now) ? connection_use::expected : connection_use::idle;
}

void caller_connection::read_arrived()
{
    const auto keep_alive = shared_from_this();
    m_channel->read_arrived();
    while (!m_is_closed && !m_exchange && !m_pipelined.empty()) {
        parse_pipelined();
    }
}

void caller_connection::tick(base::time_point now)
{
    // A paused request ends by the count of all requests.
    if (m_exchange || m_is_closed || m_unfinished.is_paused()) {
        return;
    }
    // A shorter time of a new configuration starts with the next request or idle period.
    const auto limits = limits_of(m_core);
    const auto header_time = std::max(m_limits.header_time, limits.header_time);
    const auto idle = m_side == connection_side::peer
                          ? peer_idle_timeout
                          : std::max({m_limits.idle_time, limits.idle_time, m_announced_idle_time});
    const bool is_incomplete = m_parser->has_begun();
    const auto limit = is_incomplete ? header_time : idle + idle_margin;
    const auto waited = now - m_timeout_start;
    // Bytes that have arrived are read first, after a pause of the process for example.
    if (waited <= limit || m_channel->unread() > 0) {
        return;
    }
    if (!is_incomplete) {
        m_core.counters.add("idle_connections_closed_total");
        close(connection_end::idle, now);
        return;
    }
    m_core.counters.add("incomplete_requests_total");
    write_log(m_core,
              log_event(m_core, "incomplete_request")
                  .add("waited_ms", std::chrono::duration_cast<base::milliseconds>(waited).count())
                  .add("limit_ms", limit.count()));
    m_unfinished.set(0, now);
    m_close_after_response = true;
    refuse({request_timeout_status, "incomplete_request", std::nullopt}, outcome_not_run);
}

} // namespace chicorylink::front
