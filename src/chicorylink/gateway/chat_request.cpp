#include "chicorylink/gateway/chat_request.hpp"

#include "chicorylink/gateway/sse_splitter.hpp"

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

using nlohmann::json;

/// Tokens that the engine's chat template adds to a message.
constexpr std::int64_t message_overhead_tokens = 8;
constexpr std::int64_t max_answer_tokens = 1'000'000;
constexpr std::string_view end_marker = "[DONE]";

base::leaf::error_id bad_body(std::string message, std::string remedy)
{
    return base::fail(base::error_kind::invalid_message, std::move(message), std::move(remedy));
}

void add_text(std::string& prompt, const json& content)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return;
    }
    if (!content.is_array()) {
        return;
    }
    for (const auto& part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string()) {
            prompt += part["text"].get_ref<const std::string&>();
        }
    }
}

bool read_messages(const json& body, chat_request& request)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        return false;
    }
    std::int64_t bytes = 0;
    for (const auto& message : *found) {
        if (!message.is_object()) {
            return false;
        }
        const auto found_role = message.find("role");
        const auto role = found_role != message.end() && found_role->is_string()
                              ? found_role->get<std::string>()
                              : std::string{};
        auto& text = request.messages.emplace_back(role + "\n");
        add_text(text, message.value("content", json{}));
        bytes += static_cast<std::int64_t>(text.size());
        if (request.opening == 0 && role == "user") {
            request.opening = request.messages.size();
        }
    }
    if (request.opening == 0) {
        request.opening = request.messages.size();
    }
    const auto overhead = static_cast<std::int64_t>(found->size()) * message_overhead_tokens;
    request.prompt_bound = base::tokens{bytes + overhead};
    return true;
}

/// The token limit by `max_completion_tokens` or `max_tokens`; zero when neither is usable.
std::int64_t read_answer_limit(const json& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found != body.end() && found->is_number_integer()) {
            return found->get<std::int64_t>();
        }
    }
    return 0;
}

json parse_or_discard(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

std::int64_t total_tokens(const json& response)
{
    const auto usage = response.find("usage");
    if (usage == response.end() || !usage->is_object()) {
        return 0;
    }
    const auto count = [&](const char* name) {
        const auto found = usage->find(name);
        return found != usage->end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
    };
    return count("prompt_tokens") + count("completion_tokens");
}

bool has_content(const json& chunk)
{
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty()) {
        return false;
    }
    const auto& first = choices->front();
    if (!first.is_object() || !first.contains("delta") || !first["delta"].is_object()) {
        return false;
    }
    const auto content = first["delta"].find("content");
    return content != first["delta"].end() && content->is_string() &&
           !content->get_ref<const std::string&>().empty();
}

} // namespace

base::result<chat_request> parse_chat_request(std::string_view body,
                                              base::tokens default_answer_bound)
{
    auto parsed = parse_or_discard(body);
    if (!parsed.is_object()) {
        return bad_body("the body is not a JSON object", "send an OpenAI-style chat request");
    }
    chat_request request;
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string()) {
        return bad_body("the body names no model", "set 'model' to the name of a route");
    }
    request.model = model->get<std::string>();
    if (!read_messages(parsed, request)) {
        return bad_body("the body has no messages", "set 'messages' to a list of objects");
    }
    const auto stream = parsed.find("stream");
    request.stream = stream != parsed.end() && stream->is_boolean() && stream->get<bool>();
    const auto limit = read_answer_limit(parsed);
    if (limit < 0 || limit > max_answer_tokens) {
        return bad_body("the answer's token limit is out of range",
                        "set 'max_tokens' from 1 to 1000000");
    }
    request.answer_bound = limit == 0 ? default_answer_bound : base::tokens{limit};
    parsed["max_tokens"] = request.answer_bound.value();
    request.body = parsed.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

chat_event read_chat_event(std::string_view event)
{
    const auto data = event_data(event);
    if (data == end_marker) {
        return {.done = true};
    }
    const auto parsed = parse_or_discard(data);
    if (!parsed.is_object()) {
        return {};
    }
    return {.content = base::tokens{has_content(parsed) ? 1 : 0},
            .usage = base::tokens{total_tokens(parsed)}};
}

base::tokens read_usage(std::string_view body)
{
    const auto parsed = parse_or_discard(body);
    return base::tokens{parsed.is_object() ? total_tokens(parsed) : 0};
}

} // namespace chicorylink::gateway
