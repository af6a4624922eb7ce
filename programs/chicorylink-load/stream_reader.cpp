#include "stream_reader.hpp"

#include <nlohmann/json.hpp>

namespace chicorylink::load {
namespace {

constexpr std::string_view data_field = "data: ";
constexpr std::string_view end_marker = "[DONE]";

bool contains_token(std::string_view text)
{
    const auto event = nlohmann::json::parse(text, nullptr, false);
    if (event.is_discarded() || !event.is_object()) {
        return false;
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty()) {
        return false;
    }
    const auto content = nlohmann::json::json_pointer("/delta/content");
    return choices->front().contains(content);
}

} // namespace

void stream_reader::read(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', begin)) {
        read_line(std::string_view(m_buffer).substr(begin, end - begin));
        begin = end + 1;
    }
    m_buffer.erase(0, begin);
}

void stream_reader::read_line(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.substr(0, data_field.size()) != data_field) {
        return;
    }
    line.remove_prefix(data_field.size());
    if (line == end_marker) {
        m_complete = true;
    }
    else if (contains_token(line)) {
        ++m_tokens;
    }
}

} // namespace chicorylink::load
