#ifndef CHICORYLINK_FRONT_UPSTREAM_CALL_HPP
#define CHICORYLINK_FRONT_UPSTREAM_CALL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/front/connection_pool.hpp"
#include "chicorylink/front/held_bytes.hpp"
#include "chicorylink/front/message_parser.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicorylink::front {

/// @brief Why a call got no complete response.
struct upstream_failure {
    /// Whether any byte of the request may have reached the remote end.
    bool may_have_arrived = false;
    std::string detail;
};

/// @brief Destination, contents and connection settings of one call.
struct upstream_request {
    std::string address;
    /// The serialized request, head and body.
    std::string bytes;
    /// A response with a different id is a late one to an earlier request and is skipped.
    std::string request_id;
    std::string request_id_field;
    base::milliseconds connect_timeout{300};
    /// Connections that were idle for longer are not reused.
    base::milliseconds max_idle{60'000};
    /// Whether a connection must not be reused. When a request is sent to the same address again,
    /// a late copy of the first response would be indistinguishable from the new one.
    bool force_new_connection = false;
    /// Counts the bytes until they are sent; may be null.
    std::shared_ptr<byte_account> account;
};

/// @brief One request to a target or a peer, and its response.
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
    void start(handlers callbacks, base::time_point now);

    /// @brief Cancels the call and closes its connection; no handler is called afterwards.
    void cancel();

    /// @brief Ignores the rest of the response. The connection is kept if the rest has already
    /// arrived and closed otherwise. Must be called from within a handler.
    void discard();

    void pause_reading();
    void resume_reading();

    /// @brief Whether bytes of the request may have been sent.
    [[nodiscard]] bool may_have_arrived() const { return m_sent; }

private:
    void send_on(std::shared_ptr<tcp_channel> channel);
    void on_data(std::string_view bytes);
    void on_channel_end(channel_end end);
    void process_response();
    void deliver_body();
    /// Whether the current response is interim or belongs to an earlier request.
    [[nodiscard]] bool is_unrelated_response() const;
    /// Whether the response names another request beside this one: a response to that one began
    /// within the head.
    [[nodiscard]] bool names_several_requests() const;
    /// Whether the response has no request id and came on a connection that was reused or on which
    /// a response to another request came, so that it may belong to such a request too.
    [[nodiscard]] bool is_unidentified_response() const;
    bool skip_unrelated_response();
    void finish();
    void fail(std::string detail);
    /// @brief Frees the serialized request, which is not needed after the end of the call.
    void drop_request();
    void reset_parser();

    connection_pool& m_pool;
    upstream_request m_request;
    handlers m_handlers;
    std::shared_ptr<tcp_channel> m_channel;
    std::unique_ptr<message_parser> m_parser;
    /// Bytes of interim responses and of responses to other requests.
    std::size_t m_skipped_bytes = 0;
    /// Counts the serialized request until it is sent; null without an account.
    std::unique_ptr<held_bytes> m_held;
    bool m_is_reused = false;
    /// False after a response to another request arrived on the connection.
    bool m_is_reusable = true;
    bool m_sent = false;
    bool m_head_delivered = false;
    bool m_is_discarded = false;
    bool m_is_finished = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_UPSTREAM_CALL_HPP
