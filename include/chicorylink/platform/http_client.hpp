#ifndef CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP
#define CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP

#include "chicorylink/base/strong.hpp"
#include "chicorylink/platform/http_handlers.hpp"
#include "chicorylink/platform/http_request.hpp"

#include <cstdint>
#include <memory>

namespace chicorylink::platform {

struct transfer_tag;

/// @brief Identifies one call of an `http_client`.
using transfer_id = base::strong_id<transfer_tag>;

/// @brief Runs concurrent HTTP calls on its own thread, with libcurl's multi interface.
///
/// All functions are thread-safe. The destructor cancels running calls and joins the thread.
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

    /// @brief Cancels a call by closing its connection; `on_end` reports `cancelled`.
    void cancel(transfer_id id);

    /// @brief Resumes a call that `on_data` paused.
    void resume(transfer_id id);

private:
    class worker;
    std::unique_ptr<worker> m_worker;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_CLIENT_HPP
