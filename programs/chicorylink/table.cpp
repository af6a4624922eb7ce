#include "programs/chicorylink/table.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::cli {
namespace {

constexpr std::size_t gap = 2;

using text_row = std::vector<std::string>;

std::string cell_text(const nlohmann::ordered_json& value)
{
    if (value.is_null()) {
        return "-";
    }
    auto text = value.is_string()
                    ? value.get<std::string>()
                    : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // Control characters could alter the terminal's display.
    std::replace_if(
        text.begin(), text.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7F'; }, '?');
    return text;
}

/// The number of characters in a UTF-8 text.
std::size_t width_of(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
    }));
}

std::vector<std::size_t> column_widths(const std::vector<text_row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], width_of(row[i]));
        }
    }
    return widths;
}

std::string align(const std::vector<text_row>& rows)
{
    const auto widths = column_widths(rows);
    std::string text;
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - width_of(row[i]) + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line;
        text += '\n';
    }
    return text;
}

} // namespace

std::string format_table(const nlohmann::ordered_json& rows)
{
    if (!rows.is_array() || rows.empty() || !rows.front().is_object() || rows.front().empty()) {
        return "(none)\n";
    }
    text_row names;
    for (const auto& [name, value] : rows.front().items()) {
        names.push_back(name);
    }
    std::vector<text_row> cells{names};
    for (const auto& row : rows) {
        text_row line;
        for (const auto& name : names) {
            line.push_back(row.contains(name) ? cell_text(row.at(name)) : "-");
        }
        cells.push_back(std::move(line));
    }
    return align(cells);
}

std::string format_object(const nlohmann::ordered_json& object)
{
    if (!object.is_object()) {
        return cell_text(object) + "\n";
    }
    std::vector<text_row> cells;
    for (const auto& [name, value] : object.items()) {
        cells.push_back({name + ":", cell_text(value)});
    }
    return cells.empty() ? std::string() : align(cells);
}

} // namespace chicorylink::cli
