#include "chicorylink/front/caller_connection.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/retry_after.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

/// Bytes of a next request that are taken while one is served; reading stops beyond.
constexpr std::size_t early_limit = 64UL * 1024;

/// How long peers keep connections between VMs; told to them in `Keep-Alive`.
constexpr base::milliseconds peer_idle_time{30'000};

/// A caller that has just connected sends its first request within about this time: a round trip
/// to callers, and what a loaded VM takes to read it.
constexpr base::milliseconds first_request_time{300};

/// An idle connection is closed so long after its bound, since the other side measures too.
constexpr base::milliseconds idle_margin{500};

fleet::caller_limits limits_of(const front_core& core)
{
    return core.state.config() ? core.state.config()->limits() : fleet::caller_limits{};
}

std::optional<base::config_version> version_of(const message_head& head)
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
    : m_core(core), m_channel(std::move(channel)), m_side(side)
{
    new_parser();
}

caller_connection::~caller_connection() = default;

void caller_connection::new_parser()
{
    const auto limits = limits_of(m_core);
    // Another VM adds a few fields to what its caller sent.
    constexpr std::size_t peer_fields = 1024;
    const auto extra = m_side == connection_side::peer ? peer_fields : 0;
    m_parser = std::make_unique<message_parser>(message_direction::request,
                                                limits.header_bytes + extra, limits.body_bytes);
}

void caller_connection::start(std::function<void()> on_closed)
{
    m_on_closed = std::move(on_closed);
    m_since = base::boot_now();
    m_channel->start({[self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                      [self = shared_from_this()](channel_end) { self->on_end(); },
                      [self = shared_from_this()] { self->on_sent(); }});
}

void caller_connection::on_data(std::string_view bytes)
{
    if (m_exchange) {
        m_early.append(bytes);
        if (m_early.size() > early_limit) {
            m_channel->pause_reading();
        }
        return;
    }
    if (!m_parser->has_begun()) {
        m_since = base::boot_now();
    }
    m_parser->feed(bytes);
    begin_request();
}

void caller_connection::begin_request()
{
    if (m_parser->problem() != parse_problem::none) {
        reject_unreadable();
        return;
    }
    if (!m_parser->is_complete()) {
        return;
    }
    asked_request asked;
    asked.head = m_parser->head();
    asked.body = m_parser->take_body();
    asked.arrived_at = base::boot_now();
    m_early = m_parser->take_rest();
    m_has_asked = true;
    m_asked_to_close = !asked.head.keep_alive;
    if (const auto* id = find_field(asked.head.fields, m_core.protocol.names.request_id)) {
        asked.id = *id;
    }
    if (m_side == connection_side::peer) {
        asked.forwarded_under = version_of(asked.head);
        asked.from_member = m_core.members.find(m_channel->remote_ip()) != nullptr;
        if (!asked.from_member) {
            m_core.counters.add("requests_of_unknown_peers_total");
        }
    }
    m_exchange = std::make_shared<exchange>(m_core, *this, std::move(asked));
    const auto running = m_exchange;
    running->begin(base::boot_now());
}

void caller_connection::reject_unreadable()
{
    refusal why{bad_request_status, "malformed_request", std::nullopt};
    if (m_parser->problem() == parse_problem::header_too_large) {
        why = {fields_too_large_status, "head_too_large", std::nullopt};
    }
    else if (m_parser->problem() == parse_problem::body_too_large) {
        why = {content_too_large_status, "body_too_large", std::nullopt};
    }
    m_core.counters.add("unreadable_requests_total");
    write_log(m_core, log_event(m_core, "unreadable_request").add("reason", why.reason));
    m_asked_to_close = true;
    refuse(why, outcome_not_run);
}

bool caller_connection::keeps_open() const
{
    return !m_asked_to_close && !m_core.leaving_since;
}

void caller_connection::begin_answer(int status, std::string_view reason,
                                     const header_fields& fields,
                                     std::optional<std::uint64_t> length)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    append_fields(head, fields);
    m_in_chunks = !length.has_value();
    if (length) {
        append_field(head, "Content-Length", std::to_string(*length));
    }
    else {
        append_field(head, "Transfer-Encoding", "chunked");
    }
    if (!keeps_open()) {
        append_field(head, "Connection", "close");
        m_asked_to_close = true;
    }
    else if (m_side == connection_side::peer) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(peer_idle_time);
        append_field(head, "Keep-Alive", fmt::format("timeout={}", seconds.count()));
    }
    head.append("\r\n");
    m_channel->send(head);
}

void caller_connection::send_body(std::string_view piece)
{
    if (piece.empty()) {
        return;
    }
    if (m_in_chunks) {
        m_channel->send(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
    }
    else {
        m_channel->send(piece);
    }
}

void caller_connection::end_answer()
{
    if (m_in_chunks) {
        m_channel->send("0\r\n\r\n");
    }
    next_request();
}

void caller_connection::cut_answer()
{
    m_exchange = nullptr;
    m_channel->abort();
    closed();
}

void caller_connection::refuse(const refusal& why, std::string_view outcome)
{
    header_fields fields{{"Content-Type", "application/json"}};
    // Names the request, so that another VM can't take a late refusal for the answer to its next.
    if (m_exchange && !m_exchange->request_id().empty()) {
        fields.push_back({m_core.protocol.names.request_id, m_exchange->request_id()});
    }
    if (why.retry_after) {
        const double seconds = static_cast<double>(why.retry_after->count()) / 1000;
        fields.push_back({std::string{retry_after_field}, fmt::format("{:.3f}", seconds)});
    }
    if (m_side == connection_side::peer) {
        fields.push_back({std::string{outcome_field}, std::string{outcome}});
    }
    const auto body = fmt::format("{{\"error\":\"{}\"}}\n", why.reason);
    begin_answer(why.status, reason_of(why.status), fields, body.size());
    send_body(body);
    end_answer();
}

void caller_connection::next_request()
{
    m_exchange = nullptr;
    m_since = base::boot_now();
    if (m_asked_to_close) {
        m_channel->close_after_sent();
        closed();
        return;
    }
    new_parser();
    const auto early = std::exchange(m_early, {});
    if (early.empty()) {
        m_channel->resume_reading();
        return;
    }
    // From the loop, so that a chain of requests does not become a chain of calls.
    boost::asio::post(m_core.loop, [self = shared_from_this(), early] {
        if (!self->m_is_closed) {
            self->m_channel->resume_reading();
            self->on_data(early);
        }
    });
}

void caller_connection::on_end()
{
    const auto keep_alive = shared_from_this();
    if (const auto running = std::exchange(m_exchange, nullptr)) {
        running->on_caller_gone(base::boot_now());
    }
    closed();
}

void caller_connection::on_sent()
{
    if (m_exchange) {
        m_exchange->on_caller_drained();
    }
}

void caller_connection::closed()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    if (const auto to = std::exchange(m_on_closed, nullptr)) {
        to();
    }
}

void caller_connection::close()
{
    const auto keep_alive = shared_from_this();
    if (const auto running = std::exchange(m_exchange, nullptr)) {
        running->on_caller_gone(base::boot_now());
    }
    m_channel->close();
    closed();
}

bool caller_connection::is_busy(base::time_point now) const
{
    const bool is_new = !m_has_asked && now - m_since < first_request_time;
    return is_new || m_exchange || m_parser->has_begun() || m_channel->unsent() > 0;
}

void caller_connection::tick(base::time_point now)
{
    if (m_exchange || m_is_closed) {
        return;
    }
    const auto limits = limits_of(m_core);
    const auto idle = m_side == connection_side::peer ? peer_idle_time : limits.idle_time;
    const auto limit = m_parser->has_begun() ? limits.header_time : idle + idle_margin;
    if (now - m_since > limit) {
        close();
    }
}

} // namespace chicorylink::front
