#ifndef CHICORYLINK_STAND_INS_CONFIG_STORE_HPP
#define CHICORYLINK_STAND_INS_CONFIG_STORE_HPP

#include "chicorylink/rules/manifest.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chicorylink::stand_ins {

/// @brief The published versions of the rules and all their parts. Not thread-safe.
class config_store {
public:
    /// @brief Publishes a rules text, checked by nobody.
    /// @param version The next free one when 0.
    /// @return The manifest that was made.
    rules::manifest publish(std::string_view rules_text, std::uint64_t version,
                            const std::string& salt);

    /// @brief Publishes a folder made by `chicorylink rules split`, if its manifest is new.
    void load(const std::string& folder);

    /// @brief The newest manifest, or the newest up to the version that `hold_at` set.
    [[nodiscard]] std::optional<std::pair<std::uint64_t, std::string>> newest() const;

    /// @brief The contents of a part; empty when it is unknown.
    [[nodiscard]] std::optional<std::string> part(const std::string& digest) const;

    /// @brief Serves no version above this one; 0 serves the newest again.
    void hold_at(std::uint64_t version) { m_held_at = version; }

    /// @brief Flips a byte in each answer for this part; `all` does so for all parts.
    void corrupt(std::string digest) { m_corrupt = std::move(digest); }

private:
    std::map<std::uint64_t, std::string> m_manifests;
    std::map<std::string, std::string, std::less<>> m_parts;
    std::uint64_t m_held_at = 0;
    std::string m_corrupt;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_CONFIG_STORE_HPP
