#include "stand_ins/engine_state.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"

#include <algorithm>
#include <charconv>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_interval{20};
/// Prompts are cached by the hash of this many leading bytes.
constexpr std::size_t prefix_bytes = 256;
constexpr int priority_count = 3;

int priority_of(std::string_view name)
{
    if (name == "high") {
        return 0;
    }
    return name == "low" ? priority_count - 1 : 1;
}

std::uint64_t number_of(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response dropped()
{
    http_response response;
    response.drop = true;
    return response;
}

} // namespace

engine_state::engine_state(engine_settings settings)
    : m_settings(std::move(settings)), m_slots(m_settings.slots, m_settings.queue_limit),
      m_cache(m_settings.cached_prefixes)
{
    refresh_report();
}

http_response engine_state::respond(const http_request& request)
{
    if (auto controlled = m_control.respond(request)) {
        return std::move(*controlled);
    }
    if (request.path == "/v1/load") {
        return handle_load();
    }
    if (request.path == "/v1/orders" && request.method == "POST") {
        return handle_command(request);
    }
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        return handle_chat(request);
    }
    return error_response(404, "no such call");
}

http_response engine_state::handle_chat(const http_request& request)
{
    const auto faults = m_control.receive(request);
    if (!pause(request, faults.delay)) {
        m_control.count("cancelled");
        return dropped();
    }
    auto chat_request = read_generation(request.body, m_settings.default_tokens);
    if (!chat_request) {
        return error_response(400, "the body is no chat request");
    }
    const auto& models = m_settings.models;
    if (!models.empty() &&
        std::find(models.begin(), models.end(), chat_request->model) == models.end()) {
        return error_response(404, "the model is not loaded");
    }
    if ((faults.status != 0 || faults.drop) && !faults.run) {
        m_control.count("failed");
        return faults.drop ? dropped() : error_response(faults.status, "fault of the test");
    }
    switch (m_slots.acquire(priority_of(request.header("X-Priority")), request)) {
    case engine_slots::acquire_result::queue_full:
        m_control.count("queue_full");
        return error_response(503, "the queue is full");
    case engine_slots::acquire_result::client_closed:
        m_control.count("cancelled");
        return dropped();
    case engine_slots::acquire_result::granted:
        break;
    }
    return run_chat(request, std::move(*chat_request), faults);
}

/// Runs while holding a slot; every path calls `finish` once.
http_response engine_state::run_chat(const http_request& request, generation chat_request,
                                     const target_faults& faults)
{
    m_control.count_run(request);
    chat_request.request_id = request.header("X-Request-Id");
    if (chat_request.request_id.empty()) {
        chat_request.request_id = base::random_hex(8);
    }
    if (m_settings.can_resume && !request.header("X-Resume-From").empty()) {
        chat_request.first_token = number_of(request.header("X-Resume-From"));
        m_control.count("resumed");
    }
    const bool cached = m_cache.touch(base::hash_name(chat_request.prompt.substr(0, prefix_bytes)));
    m_control.count(cached ? "prefix_hits" : "prefix_misses");
    const auto prefill =
        m_settings.prefill_per_token * static_cast<int>(chat_request.prompt_tokens);
    if (!cached && !pause(request, prefill)) {
        finish(false);
        return dropped();
    }
    auto response = chat_request.stream ? stream_chat(request, chat_request, faults)
                                        : plain_chat(request, chat_request, faults);
    if (response.drop) {
        return response;
    }
    response.headers.emplace_back("X-Request-Id",
                                  faults.wrong_request_id ? "0-0" : chat_request.request_id);
    response.headers.emplace_back("X-Load", load_header());
    if (chat_request.first_token > 0) {
        response.headers.emplace_back("X-Resume-From", std::to_string(chat_request.first_token));
    }
    return response;
}

http_response engine_state::plain_chat(const http_request& request, const generation& chat_request,
                                       const target_faults& faults)
{
    for (auto index = chat_request.first_token; index < chat_request.total_tokens; ++index) {
        if (!pause(request, m_settings.token_delay)) {
            finish(false);
            return dropped();
        }
    }
    http_response response;
    response.body = plain_response(chat_request);
    response.truncate_after = faults.close_after;
    response.on_finished = [this](bool sent_completely) { finish(sent_completely); };
    return response;
}

http_response engine_state::stream_chat(const http_request& request, const generation& chat_request,
                                        const target_faults& faults)
{
    http_response response;
    response.content_type = "text/event-stream";
    response.broken = std::make_shared<bool>(false);
    response.on_finished = [this](bool sent_completely) { finish(sent_completely); };
    response.next_chunk = [this, &request, chat_request, faults, broken = response.broken,
                           next = chat_request.first_token, sent = std::uint64_t{0},
                           ended = false]() mutable -> std::optional<std::string> {
        const bool closes = faults.close_after && sent >= *faults.close_after;
        if (ended || closes || !pause(request, m_settings.token_delay)) {
            *broken = !ended;
            return std::nullopt;
        }
        if (next >= chat_request.total_tokens) {
            ended = true;
            const bool was_empty = sent == 0;
            return (was_empty ? empty_event(chat_request) : std::string()) + "data: [DONE]\n\n";
        }
        ++sent;
        return token_event(chat_request, next++);
    };
    return response;
}

void engine_state::finish(bool sent_completely)
{
    m_slots.release();
    m_control.count(sent_completely ? "completed" : "cancelled");
}

bool engine_state::pause(const http_request& request, std::chrono::microseconds duration) const
{
    const auto end = clock::now() + duration;
    while (clock::now() < end) {
        if (request.client_closed()) {
            return false;
        }
        const auto remaining = std::chrono::ceil<std::chrono::microseconds>(end - clock::now());
        std::this_thread::sleep_for(std::min<std::chrono::microseconds>(remaining, poll_interval));
    }
    return !request.client_closed();
}

std::string engine_state::load_header() const
{
    const auto load = m_slots.current();
    return fmt::format("running={};waiting={};slots={}", load.running, load.waiting, load.slots);
}

void engine_state::refresh_report()
{
    report updated{m_slots.current(), m_cache.entries(), clock::now()};
    const std::lock_guard lock(m_mutex);
    m_report = std::move(updated);
}

http_response engine_state::handle_load() const
{
    const std::lock_guard lock(m_mutex);
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_report.created_at);
    auto cached = nlohmann::json::array();
    for (const auto prefix : m_report.cached) {
        cached.push_back(fmt::format("{:016x}", prefix));
    }
    return json_response(200, {{"running", m_report.load.running},
                               {"waiting", m_report.load.waiting},
                               {"slots", m_report.load.slots},
                               {"leaving", m_control.leaving()},
                               {"age_ms", age.count()},
                               {"cached", cached}});
}

http_response engine_state::handle_command(const http_request& request)
{
    try {
        const auto command = nlohmann::json::parse(request.body);
        const auto token = command.at("fencing").get<fencing_token>();
        const auto model = command.at("model").get<std::string>();
        const auto state = command.at("state").get<std::string>();
        const std::lock_guard lock(m_mutex);
        m_control.count("orders");
        if (m_settings.checks_fencing && token < m_newest_token) {
            m_control.count("orders_refused");
            return error_response(409, "the fencing token is older than one that was seen");
        }
        m_newest_token = std::max(m_newest_token, token);
        m_model_states[model] = state;
        return json_response(200, {{"models", m_model_states}});
    }
    catch (const nlohmann::json::exception& failure) {
        return error_response(400, failure.what());
    }
}

} // namespace chicorylink::stand_ins
