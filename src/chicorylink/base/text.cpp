#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cctype>

namespace chicorylink::base {

std::string printable_excerpt(std::string_view text, std::size_t max_bytes)
{
    std::string excerpt{text.substr(0, max_bytes)};
    std::replace_if(
        excerpt.begin(), excerpt.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text.size() > max_bytes ? excerpt + "..." : excerpt;
}

std::string lower_case(std::string_view text)
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

} // namespace chicorylink::base
