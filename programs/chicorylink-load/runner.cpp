#include "runner.hpp"

#include "chicorylink/platform/head_reader.hpp"
#include "stream_reader.hpp"
#include "summary.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

#include <curl/curl.h>
#include <fmt/format.h>

namespace chicorylink::load {
namespace {

using clock = std::chrono::steady_clock;

constexpr int max_wait_ms = 50;

/// One call in progress.
struct open_call {
    base::time_point planned{};
    base::time_point first_token{};
    platform::head_reader head;
    stream_reader reader;
    std::string body;
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers{nullptr,
                                                                        &curl_slist_free_all};
};

std::size_t on_bytes(char* bytes, std::size_t size, std::size_t count, void* context)
{
    auto& call = *static_cast<open_call*>(context);
    const auto before = call.reader.tokens();
    call.reader.read({bytes, size * count});
    if (before == 0 && call.reader.tokens() > 0) {
        call.first_token = clock::now();
    }
    return size * count;
}

curl_slist* make_headers(const plan& load_plan)
{
    curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Disables `Expect: 100-continue`, which would delay large prompts.
    headers = curl_slist_append(headers, "Expect:");
    if (!load_plan.key.empty()) {
        const auto line = fmt::format("Authorization: Bearer {}", load_plan.key);
        headers = curl_slist_append(headers, line.c_str());
    }
    return headers;
}

/// All calls in progress, on one libcurl multi handle.
class call_table {
public:
    explicit call_table(const plan& load_plan, summary& result)
        : m_plan(load_plan), m_result(result), m_multi(curl_multi_init())
    {
    }

    ~call_table()
    {
        for (const auto& [handle, call] : m_calls) {
            curl_multi_remove_handle(m_multi, handle);
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(m_multi);
    }

    call_table(const call_table&) = delete;
    call_table& operator=(const call_table&) = delete;
    call_table(call_table&&) = delete;
    call_table& operator=(call_table&&) = delete;

    [[nodiscard]] std::size_t size() const { return m_calls.size(); }

    void start(std::size_t number, base::time_point planned)
    {
        auto call = std::make_unique<open_call>();
        call->planned = planned;
        call->body = body_of(m_plan, number);
        call->headers.reset(make_headers(m_plan));
        auto* handle = curl_easy_init();
        const auto& address = m_plan.addresses[number % m_plan.addresses.size()];
        const auto url = fmt::format("http://{}/v1/chat/completions", address);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call->body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->body.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->headers.get());
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &platform::read_head_line);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &call->head);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_bytes);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, call.get());
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(m_plan.call_timeout.count()));
        curl_multi_add_handle(m_multi, handle);
        m_calls.emplace(handle, std::move(call));
    }

    /// Processes all calls, then waits for activity for at most `wait_ms` milliseconds.
    void poll(int wait_ms)
    {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        collect();
        curl_multi_poll(m_multi, nullptr, 0, wait_ms, nullptr);
    }

private:
    void collect()
    {
        int left = 0;
        while (const auto* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result == CURLE_OK);
            }
        }
    }

    void finish(CURL* handle, bool succeeded)
    {
        const auto found = m_calls.find(handle);
        const auto& call = *found->second;
        call_outcome outcome;
        if (call.head.is_complete()) {
            outcome.status = call.head.status();
        }
        outcome.complete = succeeded && call.head.is_complete() && call.reader.complete();
        outcome.tokens = call.reader.tokens();
        outcome.total_time = clock::now() - call.planned;
        outcome.first_token =
            outcome.tokens > 0 ? call.first_token - call.planned : outcome.total_time;
        m_result.add(outcome);
        curl_multi_remove_handle(m_multi, handle);
        m_calls.erase(found);
        curl_easy_cleanup(handle);
    }

    const plan& m_plan;
    summary& m_result;
    CURLM* m_multi;
    std::unordered_map<CURL*, std::unique_ptr<open_call>> m_calls;
};

} // namespace

void run(const plan& load_plan, summary& result)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    {
        call_table active_calls(load_plan, result);
        const auto starts = start_times(load_plan);
        const auto begin = clock::now();
        std::size_t next = 0;
        while (next < starts.size() || active_calls.size() > 0) {
            const auto now = clock::now();
            while (next < starts.size() && begin + starts[next] <= now) {
                if (active_calls.size() < load_plan.max_open) {
                    active_calls.start(next, begin + starts[next]);
                }
                else {
                    result.add_skipped();
                }
                ++next;
            }
            int wait_ms = max_wait_ms;
            if (next < starts.size()) {
                const auto until = std::chrono::duration_cast<base::milliseconds>(
                    begin + starts[next] - clock::now());
                wait_ms = std::clamp(static_cast<int>(until.count()), 0, max_wait_ms);
            }
            active_calls.poll(wait_ms);
        }
    }
    curl_global_cleanup();
}

} // namespace chicorylink::load
