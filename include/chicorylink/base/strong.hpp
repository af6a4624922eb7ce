#ifndef CHICORYLINK_BASE_STRONG_HPP
#define CHICORYLINK_BASE_STRONG_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace chicorylink::base {

/// @brief Strongly typed identifier or ordinal: ids with different tags don't convert or compare.
/// @tparam Tag Tag type that identifies the kind.
template <class Tag, class Rep = std::uint64_t>
class strong_id {
public:
    using rep = Rep;

    constexpr strong_id() = default;
    constexpr explicit strong_id(Rep value) : m_value(value) {}

    [[nodiscard]] constexpr Rep value() const { return m_value; }

    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep m_value{};
};

/// @brief Signed amount of one unit. Only amounts of the same unit can be added and subtracted.
/// @tparam Tag Tag type that identifies the unit.
template <class Tag>
class quantity {
public:
    using rep = std::int64_t;

    constexpr quantity() = default;
    constexpr explicit quantity(rep value) : m_value(value) {}

    [[nodiscard]] constexpr rep value() const { return m_value; }

    constexpr quantity& operator+=(quantity other)
    {
        m_value += other.m_value;
        return *this;
    }

    constexpr quantity& operator-=(quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b) { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) { return a -= b; }
    friend constexpr auto operator<=>(const quantity&, const quantity&) = default;

private:
    rep m_value{};
};

} // namespace chicorylink::base

/// @brief Hash support, for ids as keys of unordered containers.
template <class Tag, class Rep>
struct std::hash<chicorylink::base::strong_id<Tag, Rep>> {
    std::size_t operator()(const chicorylink::base::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif // CHICORYLINK_BASE_STRONG_HPP
