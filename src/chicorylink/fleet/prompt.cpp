#include "chicorylink/fleet/prompt.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/text.hpp"

#include <charconv>

namespace chicorylink::fleet {
namespace {

std::optional<std::uint32_t> parse_count(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::uint32_t shared_tokens(const prompt& request_prompt)
{
    std::uint32_t tokens = 0;
    for (std::size_t part = 0; part + 1 < request_prompt.parts.size(); ++part) {
        tokens += request_prompt.parts[part].tokens;
    }
    return tokens;
}

std::vector<prompt_part_id> shared_part_ids(const prompt& request_prompt)
{
    std::vector<prompt_part_id> ids;
    for (std::size_t part = 0; part + 1 < request_prompt.parts.size(); ++part) {
        if (ids.size() == max_shared_parts) {
            break;
        }
        ids.push_back(request_prompt.parts[part].id);
    }
    return ids;
}

std::optional<token_counts> parse_token_counts(std::string_view text)
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos) {
        return std::nullopt;
    }
    const auto prompt_tokens = parse_count(base::trim_spaces(text.substr(0, comma)));
    const auto answer_tokens = parse_count(base::trim_spaces(text.substr(comma + 1)));
    if (!prompt_tokens || !answer_tokens) {
        return std::nullopt;
    }
    return token_counts{*prompt_tokens, *answer_tokens};
}

std::vector<prompt_part> parse_prompt_parts(std::string_view model, std::string_view text)
{
    std::vector<prompt_part> parts;
    auto chain = base::hash_name(model);
    while (!text.empty()) {
        const auto entry = base::trim_spaces(text.substr(0, text.find(',')));
        const auto colon = entry.find(':');
        if (colon == std::string_view::npos) {
            break;
        }
        const auto tokens = parse_count(entry.substr(colon + 1));
        if (!tokens) {
            break;
        }
        const prompt_part_id id{base::hash_name(entry.substr(0, colon))};
        chain = base::hash_pair(chain, id.value());
        parts.push_back({chain, *tokens, id});
        const auto next = text.find(',');
        text = next == std::string_view::npos ? std::string_view{} : text.substr(next + 1);
    }
    return parts;
}

} // namespace chicorylink::fleet
