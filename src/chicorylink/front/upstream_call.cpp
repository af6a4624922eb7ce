#include "chicorylink/front/upstream_call.hpp"

#include "chicorylink/base/boot_clock.hpp"

#include <charconv>
#include <string_view>
#include <utility>

namespace chicorylink::front {
namespace {

/// Bytes of an answer's head that are accepted.
constexpr std::size_t answer_head_limit = 32UL * 1024;

/// Bytes of interim and foreign answers that are passed over: several heads, or one answer that is
/// as large as those of plain services.
constexpr std::size_t foreign_limit = 256UL * 1024;

/// Answers below are interim ones; the real answer follows.
constexpr int first_final_status = 200;

/// How long a connection is kept when the other side does not say how long it does.
constexpr base::milliseconds default_keep_time{3000};

/// The seconds that a `Keep-Alive` field names.
base::milliseconds keep_time_of(const header_fields& fields)
{
    constexpr std::string_view timeout = "timeout=";
    const auto* value = find_field(fields, "Keep-Alive");
    if (value == nullptr) {
        return default_keep_time;
    }
    const auto begin = value->find(timeout);
    if (begin == std::string::npos) {
        return default_keep_time;
    }
    int seconds = 0;
    const auto* first = value->data() + begin + timeout.size();
    std::from_chars(first, value->data() + value->size(), seconds);
    return std::chrono::seconds{seconds};
}

} // namespace

upstream_call::upstream_call(connection_pool& pool, upstream_request request)
    : m_pool(pool), m_request(std::move(request))
{
}

void upstream_call::new_parser()
{
    m_parser = std::make_unique<message_parser>(message_direction::answer, answer_head_limit,
                                                std::nullopt);
}

void upstream_call::start(handlers to, base::time_point now)
{
    m_handlers = std::move(to);
    new_parser();
    if (!m_request.on_new_connection) {
        if (auto kept = m_pool.take_kept(m_request.address, m_request.max_idle, now)) {
            m_is_reused = true;
            use(std::move(kept));
            return;
        }
    }
    m_pool.open(m_request.address, m_request.connect_limit,
                [self = shared_from_this()](std::shared_ptr<tcp_channel> channel,
                                            const std::string& problem) {
                    if (self->m_is_over) {
                        if (channel) {
                            channel->close();
                            self->m_pool.forget(self->m_request.address);
                        }
                        return;
                    }
                    if (!channel) {
                        self->fail(problem);
                        return;
                    }
                    self->use(std::move(channel));
                });
}

void upstream_call::use(std::shared_ptr<tcp_channel> channel)
{
    m_channel = std::move(channel);
    m_channel->start({[self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                      [self = shared_from_this()](channel_end how) { self->on_channel_end(how); },
                      {}});
    m_sent = true;
    m_channel->send(m_request.bytes);
}

void upstream_call::on_data(std::string_view bytes)
{
    const auto keep_alive = shared_from_this();
    if (!m_head_delivered) {
        m_foreign_bytes += bytes.size();
    }
    m_parser->feed(bytes);
    deliver();
}

bool upstream_call::is_foreign_answer() const
{
    const auto& head = m_parser->head();
    const auto* id = find_field(head.fields, m_request.request_id_field);
    return head.status < first_final_status || (id != nullptr && *id != m_request.request_id);
}

bool upstream_call::is_unidentified_answer() const
{
    return m_is_reused &&
           find_field(m_parser->head().fields, m_request.request_id_field) == nullptr;
}

bool upstream_call::skip_foreign_answer()
{
    [[maybe_unused]] const auto dropped = m_parser->take_body();
    if (!m_parser->is_complete()) {
        return false;
    }
    const auto rest = m_parser->take_rest();
    new_parser();
    m_parser->feed(rest);
    return true;
}

void upstream_call::deliver()
{
    while (!m_is_over) {
        if (m_parser->problem() != parse_problem::none) {
            fail("the answer is not HTTP");
            return;
        }
        if (!m_parser->has_head()) {
            return;
        }
        if (!m_head_delivered && is_foreign_answer()) {
            if (m_foreign_bytes > foreign_limit) {
                fail("answers to other requests without end");
                return;
            }
            m_is_clean = m_is_clean && m_parser->head().status < first_final_status;
            if (!skip_foreign_answer()) {
                return;
            }
            continue;
        }
        if (!m_head_delivered && is_unidentified_answer()) {
            fail("an answer on a used connection names no request");
            return;
        }
        if (!m_head_delivered) {
            m_head_delivered = true;
            // The handler may give the call up, which clears the handlers while it runs.
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
    if (m_is_over) {
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
    m_is_over = true;
    const auto& head = m_parser->head();
    const bool clean = m_is_clean && m_parser->take_rest().empty() && m_channel->unsent() == 0;
    const auto channel = std::exchange(m_channel, nullptr);
    if (channel->is_open() && head.keep_alive && clean) {
        m_pool.keep(m_request.address, channel, keep_time_of(head.fields), base::boot_now());
    }
    else {
        channel->close();
        m_pool.forget(m_request.address);
    }
    const auto to = std::exchange(m_handlers, {});
    if (to.on_end) {
        to.on_end();
    }
}

void upstream_call::on_channel_end(channel_end how)
{
    const auto keep_alive = shared_from_this();
    if (m_is_over) {
        return;
    }
    if (how == channel_end::closed) {
        m_parser->feed_end();
        if (m_parser->is_complete()) {
            deliver();
            return;
        }
    }
    fail(how == channel_end::closed ? "the connection was closed before the answer's end"
                                    : "the connection was reset");
}

void upstream_call::fail(std::string detail)
{
    m_is_over = true;
    if (const auto channel = std::exchange(m_channel, nullptr)) {
        channel->close();
        m_pool.forget(m_request.address);
    }
    const auto to = std::exchange(m_handlers, {});
    if (to.on_failure) {
        to.on_failure({m_sent, std::move(detail)});
    }
}

void upstream_call::cancel()
{
    m_is_over = true;
    m_handlers = {};
    if (const auto channel = std::exchange(m_channel, nullptr)) {
        channel->abort();
        m_pool.forget(m_request.address);
    }
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
