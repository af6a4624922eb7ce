#ifndef CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP
#define CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP

#include "chicorylink/base/strong.hpp"
#include "chicorylink/platform/http_handlers.hpp"
#include "chicorylink/platform/http_request.hpp"

#include <cstdint>
#include <memory>

namespace chicorylink::platform {

struct transfer_tag;

/// @brief One call of an `http_client`.
using transfer_id = base::strong_id<transfer_tag>;

/// @brief Many HTTP calls at a time on one thread of its own, by libcurl's multi interface.
///
/// All functions are thread-safe. The destructor cancels what still runs and joins the thread.
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// @brief Starts a call. Handlers may run before this function returns.
    transfer_id start(http_request request, http_handlers handlers);

    /// @brief Ends a call by closing its connection; `on_end` reports `cancelled`.
    void cancel(transfer_id id);

    /// @brief Goes on with a call that `on_data` paused.
    void resume(transfer_id id);

private:
    class worker;
    std::unique_ptr<worker> m_worker;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP
