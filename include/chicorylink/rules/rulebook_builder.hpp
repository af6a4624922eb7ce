#ifndef CHICORYLINK_RULES_RULEBOOK_BUILDER_HPP
#define CHICORYLINK_RULES_RULEBOOK_BUILDER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <memory>
#include <string>

namespace chicorylink::rules {

/// @brief Collects rules and builds a rulebook when they are consistent.
class rulebook_builder {
public:
    explicit rulebook_builder(base::config_version version);

    rulebook_builder& key_salt(std::string salt);
    rulebook_builder& routing_policy(policy value);
    rulebook_builder& add(region value);
    rulebook_builder& add(team value);
    rulebook_builder& add(key value);
    rulebook_builder& add(route value);
    rulebook_builder& add(target value);
    rulebook_builder& add(link value);

    /// @brief Sorts the rules, checks every reference and bound, and creates the rulebook.
    /// @return An `invalid_rule` error that names the first invalid line.
    [[nodiscard]] base::result<std::shared_ptr<const rulebook>> build();

private:
    std::shared_ptr<rulebook> m_book;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULEBOOK_BUILDER_HPP
