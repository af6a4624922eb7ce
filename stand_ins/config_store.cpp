#include "stand_ins/config_store.hpp"

#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/split.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace chicorylink::stand_ins {
namespace {

std::optional<std::string> read_file(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<rules::manifest> read_manifest(const std::string& text)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<std::optional<rules::manifest>> {
            BOOST_LEAF_AUTO(value, rules::parse_manifest(text));
            return std::optional(value);
        },
        [] { return std::optional<rules::manifest>(); });
}

} // namespace

rules::manifest config_store::publish(std::string_view rules_text, std::uint64_t version,
                                      const std::string& salt)
{
    if (version == 0) {
        version = m_manifests.empty() ? 1 : m_manifests.rbegin()->first + 1;
    }
    const auto parts = rules::split_rules(rules_text);
    auto published = rules::make_manifest(base::config_version{version}, salt, parts);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        m_parts[base::to_hex(published.parts[i].digest)] = parts[i];
    }
    m_manifests[version] = rules::print_manifest(published);
    return published;
}

void config_store::load(const std::string& folder)
{
    const std::filesystem::path root(folder);
    const auto text = read_file(root / "manifest");
    const auto read = text ? read_manifest(*text) : std::nullopt;
    if (!read || m_manifests.contains(read->version.value())) {
        return;
    }
    for (const auto& part : read->parts) {
        const auto digest = base::to_hex(part.digest);
        m_parts[digest] = read_file(root / "parts" / digest).value_or("");
    }
    m_manifests[read->version.value()] = *text;
}

std::optional<std::pair<std::uint64_t, std::string>> config_store::newest() const
{
    auto after = m_max_version == 0 ? m_manifests.end() : m_manifests.upper_bound(m_max_version);
    if (after == m_manifests.begin()) {
        return std::nullopt;
    }
    return *std::prev(after);
}

std::optional<std::string> config_store::part(const std::string& digest) const
{
    const auto found = m_parts.find(digest);
    if (found == m_parts.end()) {
        return std::nullopt;
    }
    auto contents = found->second;
    if (!contents.empty() && (m_corrupted_part == "all" || m_corrupted_part == digest)) {
        contents.front() = static_cast<char>(contents.front() ^ 1);
    }
    return contents;
}

} // namespace chicorylink::stand_ins
