#ifndef CHICORYLINK_FRONT_UPSTREAM_CALL_HPP
#define CHICORYLINK_FRONT_UPSTREAM_CALL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/connection_pool.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicorylink::front {

/// @brief Why a call gave no whole answer.
struct upstream_failure {
    /// Whether a byte of the request may have reached the other side.
    bool may_have_arrived = false;
    std::string detail;
};

/// @brief What one call sends and where.
struct upstream_request {
    std::string address;
    /// Head and body.
    std::string bytes;
    /// An answer that bears another id is a late one to an earlier request and is skipped.
    std::string request_id;
    std::string request_id_field;
    base::milliseconds connect_limit{300};
    /// Kept connections that were idle for longer are not used.
    base::milliseconds max_idle{60'000};
    /// Whether a kept connection must not be used. A second send of one request to the same place
    /// could not tell a late copy of the first answer from its own.
    bool on_new_connection = false;
};

/// @brief One request to a target or a peer, and its answer.
class upstream_call : public std::enable_shared_from_this<upstream_call> {
public:
    struct handlers {
        std::function<void(const message_head&)> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_end;
        std::function<void(const upstream_failure&)> on_failure;
    };

    upstream_call(connection_pool& pool, upstream_request request);
    ~upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    upstream_call(upstream_call&&) = delete;
    upstream_call& operator=(upstream_call&&) = delete;

    /// @brief Sends the request. Handlers are called from the loop, never from within `start`.
    void start(handlers to, base::time_point now);

    /// @brief Gives the call up and closes its connection; no handler is called afterwards.
    void cancel();

    /// @brief No more of the answer is wanted; its connection is kept when the rest is here already
    /// and closed otherwise. Called from within a handler.
    void discard();

    void pause_reading();
    void resume_reading();

    /// @brief Whether bytes of the request may have been sent.
    [[nodiscard]] bool may_have_arrived() const { return m_sent; }

private:
    void use(std::shared_ptr<tcp_channel> channel);
    void on_data(std::string_view bytes);
    void on_channel_end(channel_end how);
    void deliver();
    void deliver_body();
    /// Whether the answer that comes in is an interim one or belongs to an earlier request.
    [[nodiscard]] bool is_foreign_answer() const;
    /// Whether nothing tells that an answer on a used connection is not an earlier request's.
    [[nodiscard]] bool is_unidentified_answer() const;
    bool skip_foreign_answer();
    void finish();
    void fail(std::string detail);
    void new_parser();

    connection_pool& m_pool;
    upstream_request m_request;
    handlers m_handlers;
    std::shared_ptr<tcp_channel> m_channel;
    std::unique_ptr<message_parser> m_parser;
    /// Bytes of interim answers and of those to other requests.
    std::size_t m_foreign_bytes = 0;
    bool m_is_reused = false;
    /// No answer of another request came on the connection.
    bool m_is_clean = true;
    bool m_sent = false;
    bool m_head_delivered = false;
    bool m_is_discarded = false;
    bool m_is_over = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_UPSTREAM_CALL_HPP
