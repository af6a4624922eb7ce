#ifndef CHICORYLINK_BASE_STRONG_NAME_HPP
#define CHICORYLINK_BASE_STRONG_NAME_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace chicorylink::base {

/// @brief Strongly typed name: names with different tags don't convert or compare.
/// @tparam Tag Tag type that identifies the kind.
template <class Tag>
class strong_name {
public:
    strong_name() = default;
    explicit strong_name(std::string text) : m_text(std::move(text)) {}

    [[nodiscard]] const std::string& text() const { return m_text; }
    [[nodiscard]] bool empty() const { return m_text.empty(); }

    friend auto operator<=>(const strong_name&, const strong_name&) = default;

private:
    std::string m_text;
};

} // namespace chicorylink::base

/// @brief Hash support, for names as keys of unordered containers.
template <class Tag>
struct std::hash<chicorylink::base::strong_name<Tag>> {
    std::size_t operator()(const chicorylink::base::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.text());
    }
};

#endif // CHICORYLINK_BASE_STRONG_NAME_HPP
