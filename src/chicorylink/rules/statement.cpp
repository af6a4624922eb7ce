#include "chicorylink/rules/statement.hpp"

#include "chicorylink/rules/error_list.hpp"

#include <algorithm>
#include <cstddef>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr std::size_t line_size_limit = 4096;
constexpr std::size_t word_count_limit = 32;
constexpr std::size_t quoted_size_limit = 40;
constexpr std::string_view blanks = " \t";

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

std::uint32_t column_of(std::size_t position)
{
    return static_cast<std::uint32_t>(position + 1);
}

/// The length of a UTF-8 sequence with this first byte; 0 when the byte can't start one.
std::size_t sequence_length(unsigned char first)
{
    if (first < 0x80) {
        return 1;
    }
    if (first >= 0xC2 && first <= 0xDF) {
        return 2;
    }
    if (first >= 0xE0 && first <= 0xEF) {
        return 3;
    }
    return first >= 0xF0 && first <= 0xF4 ? 4 : 0;
}

/// Rejects overlong forms, surrogates and code points past the end of Unicode.
bool is_valid_second_byte(unsigned char first, unsigned char second)
{
    switch (first) {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second < 0xA0;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second < 0x90;
    default:
        return true;
    }
}

bool is_valid_sequence(std::string_view bytes)
{
    const bool continues = std::all_of(bytes.begin() + 1, bytes.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
    });
    return continues &&
           (bytes.size() == 1 || is_valid_second_byte(static_cast<unsigned char>(bytes[0]),
                                                      static_cast<unsigned char>(bytes[1])));
}

bool is_control(unsigned char byte)
{
    return (byte < 0x20 && byte != '\t') || byte == 0x7F;
}

bool is_printable_ascii(char c)
{
    return c >= ' ' && c <= '~';
}

/// Reports the first byte that is not allowed in a rules text.
bool check_characters(std::string_view line, std::uint32_t number, error_list& errors)
{
    const auto plain_end = std::find_if_not(line.begin(), line.end(), &is_printable_ascii);
    for (auto i = static_cast<std::size_t>(plain_end - line.begin()); i < line.size();) {
        const auto byte = static_cast<unsigned char>(line[i]);
        if (is_control(byte)) {
            errors.add(number, column_of(i), fmt::format("the control character 0x{:02x}", byte),
                       "use printable text with line feeds as line ends");
            return false;
        }
        const auto length = sequence_length(byte);
        if (length == 0 || i + length > line.size() || !is_valid_sequence(line.substr(i, length))) {
            errors.add(number, column_of(i), fmt::format("the byte 0x{:02x} is not UTF-8", byte),
                       "save the file as UTF-8");
            return false;
        }
        i += length;
    }
    return true;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

void read_option(const word& piece, std::size_t equals, statement& result, error_list& errors)
{
    const option read{
        {piece.text.substr(0, equals), piece.column},
        {piece.text.substr(equals + 1), piece.column + static_cast<std::uint32_t>(equals) + 1}};
    if (read.name.text.empty()) {
        errors.add(result.line, piece.column, "an option without a name", "write it as name=value");
        return;
    }
    const auto same =
        std::find_if(result.options.begin(), result.options.end(),
                     [&](const option& other) { return other.name.text == read.name.text; });
    if (same != result.options.end()) {
        errors.add(result.line, piece.column,
                   fmt::format("'{}' is given twice", read.name.text.substr(0, quoted_size_limit)),
                   "keep one of them");
        return;
    }
    if (read.value.text.empty()) {
        errors.add(result.line, read.value.column,
                   fmt::format("'{}' has no value", read.name.text.substr(0, quoted_size_limit)),
                   "write the value after '=' without a space, or remove the option");
    }
    result.options.push_back(read);
}

void read_word(const word& piece, statement& result, error_list& errors)
{
    const auto equals = piece.text.find('=');
    if (equals != std::string_view::npos) {
        read_option(piece, equals, result, errors);
    }
    else if (result.kind.column == 0) {
        result.kind = piece;
    }
    else if (!result.options.empty()) {
        errors.add(
            result.line, piece.column,
            fmt::format("'{}' stands after an option", piece.text.substr(0, quoted_size_limit)),
            "write names before options, and lists without spaces");
    }
    else {
        result.names.push_back(piece);
    }
}

void read_words(std::string_view text, statement& result, error_list& errors)
{
    std::size_t count = 0;
    auto rest = std::find_if_not(text.begin(), text.end(), &is_blank);
    while (rest != text.end()) {
        const auto word_end = std::find_if(rest, text.end(), &is_blank);
        const auto start = static_cast<std::size_t>(rest - text.begin());
        const auto end = static_cast<std::size_t>(word_end - text.begin());
        if (++count > word_count_limit) {
            errors.add(result.line, column_of(start),
                       fmt::format("more than {} words", word_count_limit),
                       "write one rule a line");
            return;
        }
        read_word({text.substr(start, end - start), column_of(start)}, result, errors);
        rest = std::find_if_not(word_end, text.end(), &is_blank);
    }
}

} // namespace

bool read_statement(std::string_view line, std::uint32_t number, statement& result,
                    error_list& errors)
{
    result.line = number;
    result.kind = {};
    result.names.clear();
    result.options.clear();
    result.comment = {};
    if (line.size() > line_size_limit) {
        errors.add(number, column_of(line_size_limit),
                   fmt::format("the line is longer than {} bytes", line_size_limit),
                   "split it into several rules");
        return false;
    }
    if (!check_characters(line, number, errors)) {
        return false;
    }
    const auto hash = std::min(line.find('#'), line.size());
    const auto rule = line.substr(0, hash);
    if (trim(rule).empty()) {
        return false;
    }
    result.comment = trim(line.substr(std::min(hash + 1, line.size())));
    if (result.comment.empty()) {
        errors.add(number, column_of(hash), "the rule does not name who asked for it",
                   "end the line with a comment such as '# lena: new market'");
    }
    read_words(rule, result, errors);
    if (result.kind.column == 0) {
        errors.add(number, column_of(line.find_first_not_of(blanks)), "the rule has no kind",
                   "start the line with region, link, team, key, route, target or policy");
        return false;
    }
    return true;
}

std::vector<word> split_list(const word& list)
{
    std::vector<word> items;
    std::size_t start = 0;
    while (start <= list.text.size()) {
        const auto end = std::min(list.text.find(',', start), list.text.size());
        items.push_back({list.text.substr(start, end - start),
                         list.column + static_cast<std::uint32_t>(start)});
        start = end + 1;
    }
    return items;
}

} // namespace chicorylink::rules
