#ifndef CHICORYLINK_RULES_RULE_READER_HPP
#define CHICORYLINK_RULES_RULE_READER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/quantity_format.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"
#include "chicorylink/rules/statement.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicorylink::rules {

class error_list;
struct parse_options;

/// @brief Turns statements into rules and checks that they fit together.
class rule_reader {
public:
    rule_reader(const parse_options& options, error_list& errors);

    /// @brief Reads one statement; its faults are reported.
    void read(const statement& from);

    /// @brief Reports the names that no line defines, then makes the rulebook if nothing was wrong.
    /// @return Null when any fault was reported.
    [[nodiscard]] std::shared_ptr<const rulebook> finish();

private:
    /// The kinds of rules that others refer to by name.
    enum class named_kind : std::uint8_t { region, team, route, target };
    static constexpr std::size_t named_kind_count = 4;

    /// A use of a name that no line before it defined.
    struct pending_reference {
        named_kind kind = named_kind::region;
        std::uint64_t id = 0;
        std::uint32_t line = 0;
        word name;
    };

    /// The digests come from the operators, and any of their bits serve as a hash.
    struct digest_hash {
        std::size_t operator()(const base::digest& value) const
        {
            std::size_t hash = 0;
            std::memcpy(&hash, value.data(), sizeof(hash));
            return hash;
        }
    };

    using line_by_id = std::unordered_map<std::uint64_t, std::uint32_t>;

    void read_region(const statement& from);
    void read_link(const statement& from);
    void read_team(const statement& from);
    void read_key(const statement& from);
    void read_route(const statement& from);
    void read_target(const statement& from);
    void read_policy(const statement& from);

    void fault(const statement& from, const word& at, std::string message, std::string remedy);
    bool expect_names(const statement& from, std::size_t count, std::string_view usage);
    void expect_options(const statement& from, std::initializer_list<std::string_view> known);
    const option* require(const statement& from, std::string_view name);
    bool check_name(const statement& from, const word& name);
    std::uint64_t define(const statement& from, named_kind kind, const word& name);
    std::uint64_t refer(const statement& from, named_kind kind, const word& name);
    std::int64_t quantity_of(const statement& from, const option* given,
                             const quantity_format& format, std::int64_t otherwise);
    std::size_t choice_of(const statement& from, const option* given,
                          std::initializer_list<std::string_view> choices, std::size_t otherwise);
    template <class Id>
    std::vector<Id> list_of(const statement& from, named_kind kind, const option* given);
    std::string target_address_of(const statement& from, const option* given);
    void read_policy_setting(const statement& from, const option& given);
    [[nodiscard]] static std::string_view name_of(named_kind kind);

    error_list& m_errors;
    rulebook_builder m_builder;
    std::array<line_by_id, named_kind_count> m_defined;
    std::unordered_map<base::digest, std::uint32_t, digest_hash> m_key_lines;
    std::unordered_map<std::string, std::uint32_t> m_target_address_lines;
    std::unordered_map<std::uint64_t, std::uint32_t> m_link_lines;
    std::unordered_set<std::string> m_vm_addresses;
    std::vector<pending_reference> m_pending;
    policy m_policy;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULE_READER_HPP
