#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/retry_after_delay.hpp"
#include "chicorylink/front/caller_connection.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <utility>

// The part of `caller_connection` that reads requests and counts their bytes.

namespace chicorylink::front {
namespace {

/// Bytes of following requests that are buffered while one is served; reading pauses beyond that.
constexpr std::size_t max_pipelined_bytes = 64UL * 1024;

} // namespace

void caller_connection::on_data(std::string_view bytes)
{
    // Bytes that arrive before pipelined ones are parsed come behind them.
    if (m_exchange || !m_pipelined.empty()) {
        m_pipelined.append(bytes);
        m_held_pipelined.set(m_pipelined.size());
        if (m_pipelined.size() > max_pipelined_bytes || m_core.request_bytes->is_full()) {
            m_channel->pause_reading();
        }
        return;
    }
    parse(bytes);
}

void caller_connection::parse(std::string_view bytes)
{
    if (!m_parser->has_begun()) {
        m_timeout_start = base::boot_now();
        if (m_limits != limits_of(m_core)) {
            reset_parser();
        }
    }
    m_partial_bytes += bytes.size();
    m_parser->feed(bytes);
    if (m_parser->problem() == parse_problem::none && !m_parser->is_complete()) {
        count_unfinished(base::boot_now());
        return;
    }
    m_unfinished.set(0, base::boot_now());
    begin_request();
}

void caller_connection::parse_pipelined()
{
    const auto pipelined = std::exchange(m_pipelined, {});
    m_held_pipelined.set(0);
    parse(pipelined);
}

void caller_connection::resume_after_pipelined()
{
    const bool has_too_much = m_pipelined.size() > max_pipelined_bytes ||
                              (!m_pipelined.empty() && m_core.request_bytes->is_full());
    // Otherwise reading goes on when the pipelined requests are served, or with `resume`.
    if (!m_is_closed && !has_too_much && !m_unfinished.is_paused()) {
        m_channel->resume_reading();
    }
}

void caller_connection::count_unfinished(base::time_point now)
{
    const auto held = m_parser->held();
    m_unfinished.set(held, now);
    if (m_core.has_ended_requests) {
        refuse_if_ending(now);
        return;
    }
    if (!m_core.request_bytes->may_read(held)) {
        m_channel->pause_reading();
        m_unfinished.note_paused(now);
    }
    if (m_core.request_bytes->is_full()) {
        relieve_request_memory(m_core, now);
    }
}

void caller_connection::resume(base::time_point now)
{
    if (m_is_closed || !m_core.request_bytes->may_read(m_parser->held())) {
        return;
    }
    // The caller could not send during the pause.
    m_timeout_start += m_unfinished.note_resumed(now);
    m_channel->resume_reading();
}

void caller_connection::shed(std::string_view cause, base::time_point now)
{
    const auto& all = *m_core.request_bytes;
    const auto delay =
        fleet::retry_after_delay(request_memory::longest_pause, fleet::retry_jitter::queue,
                                 base::hash_pair(std::uint64_t(m_unfinished.key()), all.held()));
    refuse_unfinished("request_memory", cause, delay, now);
}

void caller_connection::refuse_if_ending(base::time_point now)
{
    if (m_core.has_ended_requests && has_unfinished_request()) {
        refuse_unfinished("stopping", "stopping", fleet::min_retry_after, now);
    }
}

void caller_connection::refuse_unfinished(std::string_view reason, std::string_view cause,
                                          base::milliseconds retry_after, base::time_point now)
{
    const auto waited = std::chrono::duration_cast<base::milliseconds>(now - m_timeout_start);
    const auto& all = *m_core.request_bytes;
    write_log(m_core, log_event(m_core, "request_shed")
                          .add("cause", cause)
                          .add("from", to_string(m_side))
                          .add("bytes", std::uint64_t{m_parser->held()})
                          .add("waited_ms", waited.count())
                          .add("held_bytes", std::uint64_t{all.held()})
                          .add("limit_bytes", std::uint64_t{all.limit()})
                          .add("retry_after_ms", retry_after.count()));
    m_unfinished.set(0, now);
    m_close_after_response = true;
    refuse({unavailable_status, reason, retry_after}, outcome_not_run);
}

} // namespace chicorylink::front
