#include "chicorylink/rules/diff.hpp"

#include "chicorylink/rules/fields.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace chicorylink::rules {
namespace {

/// The key by which a rulebook sorts its entries.
auto sort_key(const region& rule)
{
    return rule.id;
}

auto sort_key(const route& rule)
{
    return rule.id;
}

auto sort_key(const target& rule)
{
    return rule.id;
}

auto sort_key(const team& rule)
{
    return rule.id;
}

auto sort_key(const link& rule)
{
    return std::pair(rule.a, rule.b);
}

auto sort_key(const key& rule)
{
    return rule.digest;
}

/// The compared fields of a rule: all but its line number.
auto compared_fields(const region& rule)
{
    return std::tie(rule.name, rule.source.asked_by);
}

auto compared_fields(const link& rule)
{
    return std::tie(rule.delay, rule.rate, rule.price_per_megabyte, rule.source.asked_by);
}

auto compared_fields(const route& rule)
{
    return std::tie(rule.name, rule.kind, rule.idempotent, rule.open_to_all, rule.deadline,
                    rule.order, rule.source.asked_by);
}

auto compared_fields(const target& rule)
{
    return std::tie(rule.name, rule.region, rule.address, rule.routes, rule.slots,
                    rule.checks_fencing, rule.source.asked_by);
}

auto compared_fields(const team& rule)
{
    return std::tie(rule.name, rule.regions, rule.home, rule.rate, rule.burst, rule.weight,
                    rule.source.asked_by);
}

auto compared_fields(const key& rule)
{
    return std::tie(rule.team, rule.source.asked_by);
}

std::string value_of(const field_list& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const field& each) { return each.name == name; });
    return found == fields.end() ? std::string() : found->value;
}

/// Adds a change for each option whose value differs between two versions of a rule.
void add_field_changes(std::vector<change>& changes, const change& common, const field_list& older,
                       const field_list& newer)
{
    const auto add = [&](std::string_view name) {
        change found = common;
        found.field = name;
        found.old_value = value_of(older, name);
        found.new_value = value_of(newer, name);
        if (found.old_value != found.new_value) {
            changes.push_back(std::move(found));
        }
    };
    for (const auto& each : newer) {
        add(each.name);
    }
    for (const auto& each : older) {
        if (value_of(newer, each.name).empty()) {
            add(each.name);
        }
    }
}

/// Compares the rules of one kind in two rulebooks, which sort them in the same order.
class kind_diff {
public:
    kind_diff(std::vector<change>& changes, const rulebook& older, const rulebook& newer,
              rule_kind kind)
        : m_changes(changes), m_older(older), m_newer(newer), m_kind(kind)
    {
    }

    template <class Rule>
    void run(const std::vector<Rule>& older, const std::vector<Rule>& newer)
    {
        const auto start = m_changes.size();
        auto left = older.begin();
        auto right = newer.begin();
        while (left != older.end() || right != newer.end()) {
            if (right == newer.end() ||
                (left != older.end() && sort_key(*left) < sort_key(*right))) {
                add_removed(*left++);
            }
            else if (left == older.end() || sort_key(*right) < sort_key(*left)) {
                add_added(*right++);
            }
            else {
                compare(*left++, *right++);
            }
        }
        std::stable_sort(m_changes.begin() + static_cast<std::ptrdiff_t>(start), m_changes.end(),
                         [](const change& a, const change& b) { return a.name < b.name; });
    }

private:
    template <class Rule>
    void add_removed(const Rule& rule)
    {
        m_changes.push_back({change_kind::removed,
                             m_kind,
                             names_of(m_older, rule),
                             {},
                             join_fields(fields_of(m_older, rule)),
                             {},
                             rule.source});
    }

    template <class Rule>
    void add_added(const Rule& rule)
    {
        m_changes.push_back({change_kind::added,
                             m_kind,
                             names_of(m_newer, rule),
                             {},
                             {},
                             join_fields(fields_of(m_newer, rule)),
                             rule.source});
    }

    template <class Rule>
    void compare(const Rule& older, const Rule& newer)
    {
        if (compared_fields(older) == compared_fields(newer)) {
            return;
        }
        auto old_fields = fields_of(m_older, older);
        auto new_fields = fields_of(m_newer, newer);
        const auto old_names = names_of(m_older, older);
        const auto new_names = names_of(m_newer, newer);
        if (old_names != new_names) {
            add_removed(older);
            add_added(newer);
            return;
        }
        old_fields.push_back({"asked_by", older.source.asked_by});
        new_fields.push_back({"asked_by", newer.source.asked_by});
        add_field_changes(m_changes,
                          {change_kind::changed, m_kind, new_names, {}, {}, {}, newer.source},
                          old_fields, new_fields);
    }

    std::vector<change>& m_changes;
    const rulebook& m_older;
    const rulebook& m_newer;
    rule_kind m_kind;
};

void diff_policy(std::vector<change>& changes, const policy& older, const policy& newer)
{
    const auto old_fields = fields_of(older);
    const auto new_fields = fields_of(newer);
    for (std::size_t i = 0; i < policy_setting_count; ++i) {
        if (old_fields[i].value == new_fields[i].value) {
            continue;
        }
        // A setting that was reset to its default has an origin only in the older rulebook.
        const auto& source =
            newer.sources.at(i).line != 0 ? newer.sources.at(i) : older.sources.at(i);
        changes.push_back({change_kind::changed,
                           rule_kind::policy,
                           {},
                           std::string(new_fields[i].name),
                           old_fields[i].value,
                           new_fields[i].value,
                           source});
    }
}

} // namespace

std::vector<change> diff_rules(const rulebook& older, const rulebook& newer)
{
    std::vector<change> changes;
    const auto compare = [&](rule_kind kind, const auto& old_rules, const auto& new_rules) {
        kind_diff(changes, older, newer, kind).run(old_rules, new_rules);
    };
    compare(rule_kind::region, older.regions(), newer.regions());
    compare(rule_kind::link, older.links(), newer.links());
    compare(rule_kind::route, older.routes(), newer.routes());
    compare(rule_kind::target, older.targets(), newer.targets());
    diff_policy(changes, older.routing_policy(), newer.routing_policy());
    compare(rule_kind::team, older.teams(), newer.teams());
    compare(rule_kind::key, older.keys(), newer.keys());
    if (older.key_salt() != newer.key_salt()) {
        changes.push_back({change_kind::changed,
                           rule_kind::key,
                           "all",
                           "salt",
                           older.key_salt(),
                           newer.key_salt(),
                           {}});
    }
    return changes;
}

} // namespace chicorylink::rules
