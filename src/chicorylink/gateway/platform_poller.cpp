#include "chicorylink/gateway/platform_poller.hpp"

#include "chicorylink/gateway/control_loop.hpp"
#include "chicorylink/platform/http_client.hpp"

#include <utility>

namespace chicorylink::gateway {

platform_poller::platform_poller(platform::http_client& http, control_loop& loop,
                                 std::function<base::time_point()> now)
    : m_http(http), m_loop(loop), m_now(std::move(now))
{
}

void platform_poller::get(const std::string& url, base::milliseconds timeout,
                          std::function<void(const fetched&)> done)
{
    auto answer = std::make_shared<fetched>();
    answer->requested_at = m_now();
    platform::http_handlers handlers;
    handlers.on_head = [answer](int status, const platform::header_list&) {
        answer->status = status;
    };
    handlers.on_data = [answer](std::string_view piece) {
        if (answer->body.size() + piece.size() <= max_answer_bytes) {
            answer->body.append(piece);
        }
        else {
            answer->status = 0;
        }
        return true;
    };
    handlers.on_end = [this, answer, done = std::move(done)](const platform::http_end& end) {
        if (end.kind != platform::http_end_kind::complete) {
            answer->status = 0;
        }
        m_loop.post([answer, done] { done(*answer); });
    };
    platform::http_request request;
    request.url = url;
    request.timeout = timeout;
    m_http.start(std::move(request), std::move(handlers));
}

} // namespace chicorylink::gateway
