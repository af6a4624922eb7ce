#include "chicorylink/front/upstream_call.hpp"

#include "chicorylink/base/boot_clock.hpp"

#include <charconv>
#include <string_view>
#include <utility>

namespace chicorylink::front {
namespace {

/// Maximum bytes of a response head.
constexpr std::size_t max_head_bytes = 32UL * 1024;

/// Maximum bytes of interim and unrelated responses that are skipped: several heads, or one
/// response as large as those of plain services.
constexpr std::size_t max_skipped_bytes = 256UL * 1024;

/// Responses with a lower status are interim; the final response follows.
constexpr int first_final_status = 200;

/// Assumed idle timeout of the remote end if it sends no `Keep-Alive` timeout.
constexpr base::milliseconds default_idle_timeout{3000};

/// The timeout from the `Keep-Alive` field.
base::milliseconds idle_timeout_of(const header_fields& fields)
{
    constexpr std::string_view timeout = "timeout=";
    const auto* value = find_field(fields, "Keep-Alive");
    if (value == nullptr) {
        return default_idle_timeout;
    }
    const auto begin = value->find(timeout);
    if (begin == std::string::npos) {
        return default_idle_timeout;
    }
    int seconds = 0;
    const auto* first = value->data() + begin + timeout.size();
    std::from_chars(first, value->data() + value->size(), seconds);
    return std::chrono::seconds{seconds};
}

/// Which requests the ids in a response name.
struct named_requests {
    bool name_this = false;
    bool name_other = false;
};

named_requests read_ids(const message_head& head, const upstream_request& request)
{
    named_requests ids;
    for (const auto& field : head.fields) {
        if (same_name(field.name, request.request_id_field)) {
            (field.value == request.request_id ? ids.name_this : ids.name_other) = true;
        }
    }
    return ids;
}

} // namespace

upstream_call::upstream_call(connection_pool& pool, upstream_request request)
    : m_pool(pool), m_request(std::move(request))
{
    if (m_request.account) {
        m_held = std::make_unique<held_bytes>(m_request.account);
        m_held->set(m_request.bytes.size());
    }
}

void upstream_call::reset_parser()
{
    m_parser =
        std::make_unique<message_parser>(message_kind::response, max_head_bytes, std::nullopt);
}

void upstream_call::start(handlers callbacks, base::time_point now)
{
    m_handlers = std::move(callbacks);
    reset_parser();
    if (!m_request.force_new_connection) {
        if (auto idle = m_pool.take_idle(m_request.address, m_request.max_idle, now)) {
            m_is_reused = true;
            send_on(std::move(idle));
            return;
        }
    }
    m_pool.open(m_request.address, m_request.connect_timeout,
                [self = shared_from_this()](std::shared_ptr<tcp_channel> channel,
                                            const std::string& problem) {
                    if (self->m_is_finished) {
                        if (channel) {
                            channel->close();
                            self->m_pool.note_closed(self->m_request.address);
                        }
                        return;
                    }
                    if (!channel) {
                        self->fail(problem);
                        return;
                    }
                    self->send_on(std::move(channel));
                });
}

void upstream_call::send_on(std::shared_ptr<tcp_channel> channel)
{
    m_channel = std::move(channel);
    m_channel->start({[self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                      [self = shared_from_this()](channel_end end) { self->on_channel_end(end); },
                      [self = shared_from_this()] { self->m_held = nullptr; },
                      {},
                      true});
    m_sent = true;
    m_channel->send_owned(std::exchange(m_request.bytes, {}));
    if (m_channel->unsent() == 0) {
        m_held = nullptr;
    }
}

void upstream_call::on_data(std::string_view bytes)
{
    const auto keep_alive = shared_from_this();
    if (!m_head_delivered) {
        m_skipped_bytes += bytes.size();
    }
    m_parser->feed(bytes);
    process_response();
}

bool upstream_call::is_unrelated_response() const
{
    const auto& head = m_parser->head();
    const auto ids = read_ids(head, m_request);
    return head.status < first_final_status || (ids.name_other && !ids.name_this);
}

bool upstream_call::names_several_requests() const
{
    const auto ids = read_ids(m_parser->head(), m_request);
    return ids.name_other && ids.name_this;
}

bool upstream_call::is_unidentified_response() const
{
    return (m_is_reused || !m_is_reusable) &&
           find_field(m_parser->head().fields, m_request.request_id_field) == nullptr;
}

bool upstream_call::skip_unrelated_response()
{
    [[maybe_unused]] const auto dropped = m_parser->take_body();
    if (!m_parser->is_complete()) {
        return false;
    }
    const auto rest = m_parser->take_remaining();
    reset_parser();
    m_parser->feed(rest);
    return true;
}

void upstream_call::process_response()
{
    while (!m_is_finished) {
        if (m_parser->problem() != parse_problem::none) {
            fail("the answer is not HTTP");
            return;
        }
        if (!m_parser->has_head()) {
            return;
        }
        if (!m_head_delivered && is_unrelated_response()) {
            if (m_skipped_bytes > max_skipped_bytes) {
                fail("answers to other requests without end");
                return;
            }
            m_is_reusable = m_is_reusable && m_parser->head().status < first_final_status;
            if (!skip_unrelated_response()) {
                return;
            }
            continue;
        }
        if (!m_head_delivered && names_several_requests()) {
            fail("an answer names several requests");
            return;
        }
        if (!m_head_delivered && is_unidentified_response()) {
            fail("an answer on a used connection names no request");
            return;
        }
        if (!m_head_delivered) {
            m_head_delivered = true;
            // Copied, because the handler may cancel the call, which clears the handlers while it
            // runs.
            if (const auto on_head = m_handlers.on_head) {
                on_head(m_parser->head());
            }
            continue;
        }
        deliver_body();
        return;
    }
}

void upstream_call::deliver_body()
{
    const auto body = m_parser->take_body();
    const auto on_body = m_handlers.on_body;
    if (!body.empty() && on_body) {
        on_body(body);
    }
    if (m_is_finished) {
        return;
    }
    if (m_parser->is_complete()) {
        finish();
    }
    else if (m_is_discarded) {
        cancel();
    }
}

void upstream_call::finish()
{
    m_is_finished = true;
    drop_request();
    const auto& head = m_parser->head();
    // A server that responds before it has the whole request may close the connection behind that.
    const bool clean =
        m_is_reusable && m_parser->take_remaining().empty() && !m_channel->has_unacknowledged();
    const auto channel = std::exchange(m_channel, nullptr);
    if (channel->is_writable() && head.keep_alive && clean) {
        m_pool.put_idle(m_request.address, channel, idle_timeout_of(head.fields), base::boot_now());
    }
    else {
        channel->close();
        m_pool.note_closed(m_request.address);
    }
    const auto callbacks = std::exchange(m_handlers, {});
    if (callbacks.on_end) {
        callbacks.on_end();
    }
}

void upstream_call::on_channel_end(channel_end end)
{
    const auto keep_alive = shared_from_this();
    if (m_is_finished) {
        return;
    }
    if (end == channel_end::closed) {
        m_parser->feed_eof();
        if (m_parser->is_complete()) {
            process_response();
        }
        // The response that the close completed may belong to another request.
        if (m_is_finished) {
            return;
        }
    }
    fail(end == channel_end::closed ? "the connection was closed before the answer's end"
                                    : "the connection was reset");
}

void upstream_call::fail(std::string detail)
{
    m_is_finished = true;
    drop_request();
    if (const auto channel = std::exchange(m_channel, nullptr)) {
        channel->close();
        m_pool.note_closed(m_request.address);
    }
    const auto callbacks = std::exchange(m_handlers, {});
    if (callbacks.on_failure) {
        callbacks.on_failure({m_sent, std::move(detail)});
    }
}

void upstream_call::cancel()
{
    m_is_finished = true;
    drop_request();
    m_handlers = {};
    if (const auto channel = std::exchange(m_channel, nullptr)) {
        channel->abort();
        m_pool.note_closed(m_request.address);
    }
}

void upstream_call::drop_request()
{
    m_request.bytes = {};
    m_held = nullptr;
}

void upstream_call::discard()
{
    m_handlers = {};
    m_is_discarded = true;
}

void upstream_call::pause_reading()
{
    if (m_channel) {
        m_channel->pause_reading();
    }
}

void upstream_call::resume_reading()
{
    if (m_channel) {
        m_channel->resume_reading();
    }
}

} // namespace chicorylink::front
