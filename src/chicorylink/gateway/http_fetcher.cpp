#include "chicorylink/gateway/http_fetcher.hpp"

#include "chicorylink/gateway/control_loop.hpp"
#include "chicorylink/platform/http_client.hpp"

#include <utility>

namespace chicorylink::gateway {

http_fetcher::http_fetcher(platform::http_client& http, control_loop& loop,
                           std::function<base::time_point()> now)
    : m_http(http), m_loop(loop), m_now(std::move(now))
{
}

void http_fetcher::get(const std::string& url, base::milliseconds timeout,
                       std::function<void(const fetch_result&)> done)
{
    auto response = std::make_shared<fetch_result>();
    response->requested_at = m_now();
    platform::http_handlers handlers;
    handlers.on_head = [response](int status, const platform::header_list&) {
        response->status = status;
    };
    handlers.on_data = [response](std::string_view piece) {
        if (response->body.size() + piece.size() <= max_response_bytes) {
            response->body.append(piece);
        }
        else {
            response->status = 0;
        }
        return true;
    };
    handlers.on_end = [this, response, done = std::move(done)](const platform::http_end& end) {
        if (end.kind != platform::http_end_kind::complete) {
            response->status = 0;
        }
        if (response->status == 0) {
            // Not every caller asks for the status.
            response->body.clear();
        }
        m_loop.post([response, done] { done(*response); });
    };
    platform::http_request request;
    request.url = url;
    request.timeout = timeout;
    m_http.start(std::move(request), std::move(handlers));
}

} // namespace chicorylink::gateway
