#include "chicorylink/rules/parse.hpp"

#include "chicorylink/rules/error_list.hpp"
#include "chicorylink/rules/rule_reader.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/statement.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace chicorylink::rules {

namespace {

/// Parses consecutive parts of one rules text line by line.
class text_reader {
public:
    explicit text_reader(const parse_options& options)
        : m_errors(options.file), m_reader(options, m_errors)
    {
    }

    void read(std::string_view text)
    {
        for (std::size_t start = 0; start < text.size();) {
            const auto end = std::min(text.find('\n', start), text.size());
            if (read_statement(text.substr(start, end - start), ++m_line, m_current, m_errors)) {
                m_reader.read(m_current);
            }
            start = end + 1;
        }
    }

    [[nodiscard]] parse_outcome finish()
    {
        auto book = m_reader.finish();
        return {std::move(book), m_errors.take_sorted()};
    }

private:
    error_list m_errors;
    rule_reader m_reader;
    statement m_current;
    std::uint32_t m_line = 0;
};

template <class Part>
parse_outcome read_parts(std::span<const Part> parts, const parse_options& options)
{
    text_reader reader(options);
    for (const auto& part : parts) {
        reader.read(part);
    }
    return reader.finish();
}

} // namespace

parse_outcome parse_rules(std::string_view text, const parse_options& options)
{
    text_reader reader(options);
    reader.read(text);
    return reader.finish();
}

parse_outcome parse_parts(std::span<const std::string> parts, const parse_options& options)
{
    return read_parts(parts, options);
}

parse_outcome parse_parts(std::span<const std::string_view> parts, const parse_options& options)
{
    return read_parts(parts, options);
}

} // namespace chicorylink::rules
