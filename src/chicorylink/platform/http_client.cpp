#include "chicorylink/platform/http_client.hpp"

#include "chicorylink/platform/closing_sockets.hpp"
#include "chicorylink/platform/http_transfer.hpp"

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <curl/curl.h>

namespace chicorylink::platform {
namespace {

constexpr int poll_timeout_ms = 1'000;
constexpr long max_cached_connections = 256;

/// Initializes libcurl once per process, before any thread uses it.
void prepare_library()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(code);
}

} // namespace

class http_client::worker {
public:
    worker();
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;

    transfer_id start(http_request request, http_handlers handlers);
    void cancel(transfer_id id);
    void resume(transfer_id id);

private:
    struct commands {
        std::vector<std::unique_ptr<http_transfer>> started;
        std::vector<transfer_id> cancelled;
        std::vector<transfer_id> resumed;
    };

    void run();
    void apply(commands todo);
    void finish_done();
    /// Ends the calls of which it is known by now how their connections ended.
    void finish_confirmed();
    void cancel_now(transfer_id id);
    [[nodiscard]] commands take_commands();

    /// Used by connections of `m_multi` until these are closed.
    closing_sockets m_sockets;
    CURLM* m_multi;
    std::atomic<std::uint64_t> m_last_id{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    commands m_commands;
    std::unordered_map<transfer_id, std::unique_ptr<http_transfer>> m_running;
    /// Calls in `m_running` whose responses ended with their connections.
    std::vector<transfer_id> m_unconfirmed;
    std::thread m_thread;
};

http_client::worker::worker() : m_multi((prepare_library(), curl_multi_init()))
{
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
    m_thread = std::thread([this] { run(); });
}

http_client::worker::~worker()
{
    m_stopping = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
}

transfer_id http_client::worker::start(http_request request, http_handlers handlers)
{
    const transfer_id id{++m_last_id};
    auto transfer =
        std::make_unique<http_transfer>(id, std::move(request), std::move(handlers), m_sockets);
    {
        const std::lock_guard lock(m_mutex);
        m_commands.started.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_multi);
    return id;
}

void http_client::worker::cancel(transfer_id id)
{
    {
        const std::lock_guard lock(m_mutex);
        m_commands.cancelled.push_back(id);
    }
    curl_multi_wakeup(m_multi);
}

void http_client::worker::resume(transfer_id id)
{
    {
        const std::lock_guard lock(m_mutex);
        m_commands.resumed.push_back(id);
    }
    curl_multi_wakeup(m_multi);
}

http_client::worker::commands http_client::worker::take_commands()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_commands, {});
}

void http_client::worker::run()
{
    while (!m_stopping) {
        apply(take_commands());
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finish_done();
        finish_confirmed();
        const int timeout_ms =
            m_unconfirmed.empty() ? poll_timeout_ms : closing_sockets::check_interval_ms;
        curl_multi_poll(m_multi, nullptr, 0, timeout_ms, nullptr);
    }
    apply(take_commands());
    while (!m_running.empty()) {
        cancel_now(m_running.begin()->first);
    }
}

void http_client::worker::apply(commands todo)
{
    for (auto& transfer : todo.started) {
        curl_multi_add_handle(m_multi, transfer->handle());
        m_running.emplace(transfer->id(), std::move(transfer));
    }
    for (const auto id : todo.resumed) {
        const auto found = m_running.find(id);
        if (found != m_running.end()) {
            curl_easy_pause(found->second->handle(), CURLPAUSE_CONT);
        }
    }
    for (const auto id : todo.cancelled) {
        cancel_now(id);
    }
}

void http_client::worker::cancel_now(transfer_id id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const auto transfer = std::move(found->second);
    m_running.erase(found);
    curl_multi_remove_handle(m_multi, transfer->handle());
    transfer->finish_cancelled();
}

void http_client::worker::finish_done()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        http_transfer* transfer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(m_multi, transfer->handle());
        if (transfer->ends_with_connection(code)) {
            if (const auto next = transfer->next_byte()) {
                m_sockets.probe(transfer->local_address(), *next);
            }
            m_unconfirmed.push_back(transfer->id());
            continue;
        }
        const auto node = m_running.extract(transfer->id());
        transfer->finish(code);
    }
}

void http_client::worker::finish_confirmed()
{
    std::vector<std::string> pending;
    for (const auto id : std::exchange(m_unconfirmed, {})) {
        const auto found = m_running.find(id);
        if (found == m_running.end()) {
            // The call was cancelled meanwhile.
            continue;
        }
        const auto state = m_sockets.check(found->second->local_address());
        if (state == close_state::pending) {
            pending.push_back(found->second->local_address());
            m_unconfirmed.push_back(id);
            continue;
        }
        const auto node = m_running.extract(found);
        node.mapped()->finish(state == close_state::reset ? CURLE_RECV_ERROR : CURLE_OK);
    }
    m_sockets.close_others(pending);
}

http_client::http_client() : m_worker(std::make_unique<worker>()) {}

http_client::~http_client() = default;

transfer_id http_client::start(http_request request, http_handlers handlers)
{
    return m_worker->start(std::move(request), std::move(handlers));
}

void http_client::cancel(transfer_id id)
{
    m_worker->cancel(id);
}

void http_client::resume(transfer_id id)
{
    m_worker->resume(id);
}

} // namespace chicorylink::platform
