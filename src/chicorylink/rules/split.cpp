#include "chicorylink/rules/split.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace chicorylink::rules {
namespace {

constexpr std::string_view blanks = " \t\n";

/// Returns a rule's kind and names: the words before its first option or comment.
std::string_view rule_identity(std::string_view line)
{
    std::size_t end = 0;
    auto start = line.find_first_not_of(blanks);
    while (start != std::string_view::npos) {
        const auto word_end = std::min(line.find_first_of(blanks, start), line.size());
        if (line.substr(start, word_end - start).find_first_of("=#") != std::string_view::npos) {
            break;
        }
        end = word_end;
        start = line.find_first_not_of(blanks, end);
    }
    return line.substr(0, end);
}

/// Decides by hash whether a part ends after a line, with a probability proportional to its length.
bool ends_part(std::string_view line, base::bytes mean_excess)
{
    const auto identity = rule_identity(line);
    if (identity.empty()) {
        return false;
    }
    const auto step =
        std::numeric_limits<std::uint64_t>::max() / static_cast<std::uint64_t>(mean_excess.value());
    return base::hash_name(identity) / step < line.size();
}

} // namespace

std::vector<std::string> split_rules(std::string_view text, const split_sizes& sizes)
{
    std::vector<std::string> parts;
    std::string current;
    for (std::size_t start = 0; start < text.size();) {
        const auto end = std::min(text.find('\n', start), text.size());
        const auto line = text.substr(start, end - start);
        current += line;
        current += '\n';
        const base::bytes size{static_cast<std::int64_t>(current.size())};
        if (size >= sizes.largest ||
            (size >= sizes.smallest && ends_part(line, sizes.mean_excess))) {
            parts.push_back(std::move(current));
            current.clear();
        }
        start = end + 1;
    }
    if (!current.empty()) {
        parts.push_back(std::move(current));
    }
    return parts;
}

} // namespace chicorylink::rules
