#include "chicorylink/rules/rule_reader.hpp"

#include "chicorylink/rules/address.hpp"
#include "chicorylink/rules/error_list.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/statement_checks.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr std::string_view digest_prefix = "sha256:";

origin origin_of(const statement& rule)
{
    return {rule.line, std::string(rule.comment)};
}

} // namespace

rule_reader::rule_reader(const parse_options& options, error_list& errors)
    : m_errors(errors), m_builder(options.version)
{
    m_builder.key_salt(options.key_salt);
    for (const auto& address : options.vm_addresses) {
        m_vm_addresses.insert(canonical_address(address).value_or(address));
    }
}

void rule_reader::read(const statement& rule)
{
    using read_function = void (rule_reader::*)(const statement&);
    static constexpr std::array<std::pair<std::string_view, read_function>, 7> kinds{{
        {"key", &rule_reader::read_key},
        {"team", &rule_reader::read_team},
        {"region", &rule_reader::read_region},
        {"link", &rule_reader::read_link},
        {"route", &rule_reader::read_route},
        {"target", &rule_reader::read_target},
        {"policy", &rule_reader::read_policy},
    }};
    for (const auto& [name, function] : kinds) {
        if (rule.kind.text == name) {
            (this->*function)(rule);
            return;
        }
    }
    add_error(m_errors, rule, rule.kind, fmt::format("{} is no kind of rule", quoted(rule.kind)),
              "start the line with region, link, team, key, route, target or policy");
}

void rule_reader::read_region(const statement& rule)
{
    expect_options(rule, {}, m_errors);
    if (!expect_names(rule, 1, "region NAME", m_errors)) {
        return;
    }
    const base::region_id id{m_names.define(rule, rule_kind::region, rule.names[0], m_errors)};
    m_builder.add(region{id, std::string(rule.names[0].text), origin_of(rule)});
}

void rule_reader::read_link(const statement& rule)
{
    expect_options(rule, {"delay", "rate", "price"}, m_errors);
    if (!expect_names(rule, 2, "link REGION REGION", m_errors)) {
        return;
    }
    link value;
    value.a =
        base::region_id{m_names.add_reference(rule, rule_kind::region, rule.names[0], m_errors)};
    value.b =
        base::region_id{m_names.add_reference(rule, rule_kind::region, rule.names[1], m_errors)};
    value.delay =
        base::milliseconds{parse_quantity_option(rule, require_option(rule, "delay", m_errors),
                                                 duration_format, value.delay.count(), m_errors)};
    value.rate = base::bytes_per_second{
        parse_quantity_option(rule, require_option(rule, "rate", m_errors), link_rate_format,
                              value.rate.value(), m_errors)};
    value.price_per_megabyte = base::milliseconds{
        parse_quantity_option(rule, find_option(rule, "price"), duration_format, 0, m_errors)};
    value.source = origin_of(rule);
    if (value.a == value.b) {
        add_error(m_errors, rule, rule.names[1], "the link joins a region with itself",
                  "name two regions");
    }
    const auto ends = std::minmax(value.a, value.b);
    const auto [known, added] =
        m_link_lines.emplace(base::hash_pair(ends.first.value(), ends.second.value()), rule.line);
    if (!added) {
        add_error(m_errors, rule, rule.names[0],
                  fmt::format("line {} already joins these regions", known->second),
                  "keep one of the lines");
    }
    m_builder.add(std::move(value));
}

void rule_reader::read_team(const statement& rule)
{
    expect_options(rule, {"regions", "home", "rate", "burst", "weight"}, m_errors);
    if (!expect_names(rule, 1, "team NAME", m_errors)) {
        return;
    }
    team value;
    value.id = base::team_id{m_names.define(rule, rule_kind::team, rule.names[0], m_errors)};
    value.name = rule.names[0].text;
    const auto* const regions = require_option(rule, "regions", m_errors);
    value.regions = parse_list<base::region_id>(rule, rule_kind::region, regions);
    if (const auto* const home = find_option(rule, "home"); home != nullptr) {
        value.home =
            base::region_id{m_names.add_reference(rule, rule_kind::region, home->value, m_errors)};
        if (regions != nullptr &&
            std::ranges::find(value.regions, *value.home) == value.regions.end()) {
            add_error(m_errors, rule, home->value,
                      fmt::format("the home {} is not allowed", quoted(home->value)),
                      "list it in regions= or remove home=");
        }
    }
    value.rate = base::tokens_per_second{parse_quantity_option(
        rule, require_option(rule, "rate", m_errors), token_rate_format, 1, m_errors)};
    value.burst = base::tokens{parse_quantity_option(rule, require_option(rule, "burst", m_errors),
                                                     token_format, 1, m_errors)};
    value.weight = static_cast<std::uint32_t>(parse_quantity_option(
        rule, find_option(rule, "weight"), team_weight_format, value.weight, m_errors));
    value.source = origin_of(rule);
    m_builder.add(std::move(value));
}

void rule_reader::read_key(const statement& rule)
{
    expect_options(rule, {}, m_errors);
    if (!expect_names(rule, 2, "key TEAM sha256:DIGEST", m_errors)) {
        return;
    }
    key value;
    value.team =
        base::team_id{m_names.add_reference(rule, rule_kind::team, rule.names[0], m_errors)};
    value.source = origin_of(rule);
    const auto& text = rule.names[1];
    const auto digest = text.text.starts_with(digest_prefix)
                            ? base::digest_from_hex(text.text.substr(digest_prefix.size()))
                            : std::nullopt;
    if (!digest) {
        add_error(m_errors, rule, text, "the key is no SHA-256 digest",
                  "write sha256: and 64 hexadecimal digits; 'chicorylink key new' makes both");
        return;
    }
    value.digest = *digest;
    const auto [known, added] = m_key_lines.emplace(value.digest, rule.line);
    if (!added) {
        add_error(m_errors, rule, text, fmt::format("line {} already has this key", known->second),
                  "give each key to one team, once");
    }
    m_builder.add(std::move(value));
}

void rule_reader::read_route(const statement& rule)
{
    expect_options(rule, {"kind", "idempotent", "open", "deadline", "priority"}, m_errors);
    if (!expect_names(rule, 1, "route NAME", m_errors)) {
        return;
    }
    route value;
    value.id = base::route_id{m_names.define(rule, rule_kind::route, rule.names[0], m_errors)};
    value.name = rule.names[0].text;
    value.kind = parse_choice_option(rule, require_option(rule, "kind", m_errors),
                                     {"model", "service"}, 0, m_errors) == 0
                     ? route_kind::model
                     : route_kind::service;
    const auto* const idempotent = value.kind == route_kind::service
                                       ? require_option(rule, "idempotent", m_errors)
                                       : find_option(rule, "idempotent");
    value.idempotent = parse_choice_option(rule, idempotent, {"no", "yes"}, 1, m_errors) == 1;
    value.open_to_all =
        parse_choice_option(rule, find_option(rule, "open"), {"no", "yes"}, 0, m_errors) == 1;
    value.deadline = base::milliseconds{parse_quantity_option(
        rule, find_option(rule, "deadline"), deadline_format, value.deadline.count(), m_errors)};
    value.order = static_cast<priority>(parse_choice_option(
        rule, find_option(rule, "priority"), {"high", "normal", "low"}, 1, m_errors));
    value.source = origin_of(rule);
    m_builder.add(std::move(value));
}

void rule_reader::read_target(const statement& rule)
{
    expect_options(rule, {"region", "address", "routes", "slots", "checks_fencing"}, m_errors);
    if (!expect_names(rule, 1, "target NAME", m_errors)) {
        return;
    }
    target value;
    value.id = base::target_id{m_names.define(rule, rule_kind::target, rule.names[0], m_errors)};
    value.name = rule.names[0].text;
    if (const auto* const where = require_option(rule, "region", m_errors); where != nullptr) {
        value.region =
            base::region_id{m_names.add_reference(rule, rule_kind::region, where->value, m_errors)};
    }
    value.address = parse_target_address(rule, require_option(rule, "address", m_errors));
    value.routes = parse_list<base::route_id>(rule, rule_kind::route,
                                              require_option(rule, "routes", m_errors));
    value.slots = static_cast<std::uint32_t>(parse_quantity_option(
        rule, find_option(rule, "slots"), slots_format, value.slots, m_errors));
    value.checks_fencing = parse_choice_option(rule, find_option(rule, "checks_fencing"),
                                               {"no", "yes"}, 0, m_errors) == 1;
    value.source = origin_of(rule);
    m_builder.add(std::move(value));
}

std::string rule_reader::parse_target_address(const statement& rule, const option* assignment)
{
    if (assignment == nullptr) {
        return {};
    }
    const auto address = canonical_address(assignment->value.text);
    if (!address) {
        add_error(m_errors, rule, assignment->value,
                  fmt::format("{} is no address of one host and port", quoted(assignment->value)),
                  "write IP:port, such as 10.0.3.7:8000 or [fd00::7]:8000");
        return {};
    }
    if (m_vm_addresses.contains(*address)) {
        add_error(m_errors, rule, assignment->value,
                  fmt::format("{} is a VM of the system; its requests would loop",
                              quoted(assignment->value)),
                  "give the address of the engine or service itself");
    }
    const auto [known, added] = m_target_address_lines.emplace(*address, rule.line);
    if (!added) {
        add_error(m_errors, rule, assignment->value,
                  fmt::format("line {} already has a target at {}", known->second,
                              quoted(assignment->value)),
                  "list its routes in one target line");
    }
    return *address;
}

void rule_reader::read_policy(const statement& rule)
{
    expect_names(rule, 0, "policy NAME=VALUE", m_errors);
    expect_options(
        rule,
        {"tail_weight", "worst_team_weight", "refusal_weight", "sent_away_weight", "stay_home"},
        m_errors);
    if (rule.options.empty()) {
        add_error(m_errors, rule, end_of(rule), "the policy sets nothing",
                  "write policy NAME=VALUE");
    }
    for (const auto& assignment : rule.options) {
        read_policy_setting(rule, assignment);
    }
}

void rule_reader::read_policy_setting(const statement& rule, const option& assignment)
{
    struct weight_setting {
        std::string_view name;
        std::uint32_t policy::*member;
    };
    static constexpr std::array<weight_setting, policy_setting_count - 1> weights{{
        {"tail_weight", &policy::tail_weight},
        {"worst_team_weight", &policy::worst_team_weight},
        {"refusal_weight", &policy::refusal_weight},
        {"sent_away_weight", &policy::sent_away_weight},
    }};
    const auto found = std::find_if(weights.begin(), weights.end(), [&](const auto& each) {
        return each.name == assignment.name.text;
    });
    if (found == weights.end() && assignment.name.text != "stay_home") {
        return;
    }
    auto& source = m_policy.sources.at(static_cast<std::size_t>(found - weights.begin()));
    if (source.line != 0) {
        add_error(m_errors, rule, assignment.name,
                  fmt::format("line {} already sets {}", source.line, quoted(assignment.name)),
                  "keep one of them");
        return;
    }
    source = origin_of(rule);
    if (found == weights.end()) {
        m_policy.stay_home = base::milliseconds{parse_quantity_option(
            rule, &assignment, duration_format, m_policy.stay_home.count(), m_errors)};
        return;
    }
    m_policy.*(found->member) = static_cast<std::uint32_t>(
        parse_quantity_option(rule, &assignment, policy_weight_format, 0, m_errors));
}

template <class Id>
std::vector<Id> rule_reader::parse_list(const statement& rule, rule_kind kind,
                                        const option* assignment)
{
    std::vector<Id> ids;
    if (assignment == nullptr || assignment->value.text.empty()) {
        return ids;
    }
    const auto items = split_list(assignment->value);
    std::unordered_set<std::string_view> seen;
    ids.reserve(items.size());
    for (const auto& item : items) {
        if (!seen.insert(item.text).second) {
            add_error(m_errors, rule, item, fmt::format("{} is listed twice", quoted(item)),
                      "list it once");
            continue;
        }
        ids.emplace_back(m_names.add_reference(rule, kind, item, m_errors));
    }
    return ids;
}

std::shared_ptr<const rulebook> rule_reader::finish()
{
    m_names.report_undefined(m_errors);
    if (!m_errors.empty()) {
        return nullptr;
    }
    m_builder.routing_policy(std::move(m_policy));
    return base::leaf::try_handle_all(
        [&]() { return m_builder.build(); },
        [&](const base::error& failure) -> std::shared_ptr<const rulebook> {
            m_errors.add(1, 1, failure.message, failure.remedy);
            return nullptr;
        },
        [&]() -> std::shared_ptr<const rulebook> {
            m_errors.add(1, 1, "the rules don't fit together", "report this as a defect");
            return nullptr;
        });
}

} // namespace chicorylink::rules
