#include "stand_ins/generation.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <sstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {
namespace {

constexpr std::uint64_t token_limit = 100'000;

std::uint64_t count_words(const std::string& text)
{
    std::istringstream words(text);
    std::string word;
    std::uint64_t count = 0;
    while (words >> word) {
        ++count;
    }
    return count;
}

nlohmann::json usage_of(const generation& request)
{
    return {{"prompt_tokens", request.prompt_tokens},
            {"completion_tokens", request.total_tokens},
            {"total_tokens", request.prompt_tokens + request.total_tokens}};
}

nlohmann::json chunk_of(const generation& request, nlohmann::json delta, bool is_last)
{
    nlohmann::json chunk{{"id", request.request_id},
                         {"object", "chat.completion.chunk"},
                         {"model", request.model},
                         {"choices", nlohmann::json::array()}};
    nlohmann::json choice{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}};
    if (is_last) {
        choice["finish_reason"] = "stop";
        chunk["usage"] = usage_of(request);
    }
    chunk["choices"].push_back(std::move(choice));
    return chunk;
}

std::string event_of(const nlohmann::json& chunk)
{
    return fmt::format("data: {}\n\n", chunk.dump());
}

} // namespace

std::optional<generation> read_generation(const std::string& body, std::uint64_t default_tokens)
{
    try {
        const auto json = nlohmann::json::parse(body);
        generation read;
        read.model = json.at("model").get<std::string>();
        for (const auto& message : json.at("messages")) {
            read.prompt += message.at("content").get<std::string>();
            read.prompt += '\n';
        }
        read.prompt_tokens = count_words(read.prompt);
        read.total_tokens = std::min(json.value("max_tokens", default_tokens), token_limit);
        read.stream = json.value("stream", false);
        return read;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string token_text(const std::string& request_id, std::uint64_t index)
{
    constexpr std::uint64_t shown_bits = 0xFFFF;
    const auto hash = base::hash_pair(base::hash_name(request_id), index) & shown_bits;
    return fmt::format("{}:{:04x} ", index, hash);
}

std::string token_event(const generation& request, std::uint64_t index)
{
    const bool is_last = index + 1 >= request.total_tokens;
    return event_of(
        chunk_of(request, {{"content", token_text(request.request_id, index)}}, is_last));
}

std::string empty_event(const generation& request)
{
    return event_of(chunk_of(request, nlohmann::json::object(), true));
}

std::string plain_response(const generation& request)
{
    std::string content;
    for (auto index = request.first_token; index < request.total_tokens; ++index) {
        content += token_text(request.request_id, index);
    }
    const nlohmann::json message{{"role", "assistant"}, {"content", content}};
    nlohmann::json response{{"id", request.request_id},
                            {"object", "chat.completion"},
                            {"model", request.model},
                            {"choices", nlohmann::json::array()},
                            {"usage", usage_of(request)}};
    response["choices"].push_back({{"index", 0}, {"message", message}, {"finish_reason", "stop"}});
    return response.dump();
}

} // namespace chicorylink::stand_ins
