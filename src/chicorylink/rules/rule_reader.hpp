#ifndef CHICORYLINK_RULES_RULE_READER_HPP
#define CHICORYLINK_RULES_RULE_READER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/name_table.hpp"
#include "chicorylink/rules/rule_kind.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"
#include "chicorylink/rules/statement.hpp"

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicorylink::rules {

class error_list;
struct parse_options;

/// @brief Converts statements into rules and checks that they are consistent.
class rule_reader {
public:
    rule_reader(const parse_options& options, error_list& errors);

    /// @brief Reads one statement and reports its errors.
    void read(const statement& rule);

    /// @brief Reports undefined names, then builds the rulebook if there was no error.
    /// @return Null when any error was reported.
    [[nodiscard]] std::shared_ptr<const rulebook> finish();

private:
    /// Any bits of a digest serve as a hash, since the digests come from the operators.
    struct digest_hash {
        std::size_t operator()(const base::digest& value) const
        {
            std::size_t hash = 0;
            std::memcpy(&hash, value.data(), sizeof(hash));
            return hash;
        }
    };

    void read_region(const statement& rule);
    void read_link(const statement& rule);
    void read_team(const statement& rule);
    void read_key(const statement& rule);
    void read_route(const statement& rule);
    void read_target(const statement& rule);
    void read_policy(const statement& rule);

    template <class Id>
    std::vector<Id> parse_list(const statement& rule, rule_kind kind, const option* assignment);
    std::string parse_target_address(const statement& rule, const option* assignment);
    void read_policy_setting(const statement& rule, const option& assignment);

    error_list& m_errors;
    rulebook_builder m_builder;
    name_table m_names;
    std::unordered_map<base::digest, std::uint32_t, digest_hash> m_key_lines;
    std::unordered_map<std::string, std::uint32_t> m_target_address_lines;
    std::unordered_map<std::uint64_t, std::uint32_t> m_link_lines;
    std::unordered_set<std::string> m_vm_addresses;
    policy m_policy;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULE_READER_HPP
