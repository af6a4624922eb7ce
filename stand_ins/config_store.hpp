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
    /// @brief Publishes a rules text without validating it.
    /// @param version 0 takes the next free version.
    /// @return The manifest of the published version.
    rules::manifest publish(std::string_view rules_text, std::uint64_t version,
                            const std::string& salt);

    /// @brief Publishes a folder made by `chicorylink rules split` if its version is new.
    void load(const std::string& folder);

    /// @brief The newest manifest up to the version set by `set_max_version`.
    [[nodiscard]] std::optional<std::pair<std::uint64_t, std::string>> newest() const;

    /// @brief The contents of a part; empty when the part is unknown.
    [[nodiscard]] std::optional<std::string> part(const std::string& digest) const;

    /// @brief Serves no version above this one; 0 removes the limit.
    void set_max_version(std::uint64_t version) { m_max_version = version; }

    /// @brief Corrupts the first byte of this part in each response; `all` corrupts all parts.
    void corrupt(std::string digest) { m_corrupted_part = std::move(digest); }

private:
    std::map<std::uint64_t, std::string> m_manifests;
    std::map<std::string, std::string, std::less<>> m_parts;
    std::uint64_t m_max_version = 0;
    std::string m_corrupted_part;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_CONFIG_STORE_HPP
