#include "chicorylink/rules/rule_reader.hpp"

#include "chicorylink/rules/address.hpp"
#include "chicorylink/rules/error_list.hpp"
#include "chicorylink/rules/parse.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace chicorylink::rules {
namespace {

constexpr std::size_t name_size_limit = 63;
constexpr std::size_t quoted_size_limit = 40;
constexpr std::string_view digest_prefix = "sha256:";

const option* find_option(const statement& from, std::string_view name)
{
    const auto found = std::find_if(from.options.begin(), from.options.end(),
                                    [&](const option& each) { return each.name.text == name; });
    return found == from.options.end() ? nullptr : &*found;
}

bool is_alphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= name_size_limit && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
           });
}

std::string quoted(const word& what)
{
    return fmt::format("'{}'", what.text.substr(0, quoted_size_limit));
}

origin origin_of(const statement& from)
{
    return {from.line, std::string(from.comment)};
}

/// Where a rule ends, for faults of something that is missing.
word end_of(const statement& from)
{
    word last = from.kind;
    if (!from.names.empty()) {
        last = from.names.back();
    }
    if (!from.options.empty()) {
        last = from.options.back().value;
    }
    return {{}, last.column + static_cast<std::uint32_t>(last.text.size())};
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

void rule_reader::read(const statement& from)
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
        if (from.kind.text == name) {
            (this->*function)(from);
            return;
        }
    }
    fault(from, from.kind, fmt::format("{} is no kind of rule", quoted(from.kind)),
          "start the line with region, link, team, key, route, target or policy");
}

void rule_reader::read_region(const statement& from)
{
    expect_options(from, {});
    if (!expect_names(from, 1, "region NAME")) {
        return;
    }
    const base::region_id id{define(from, named_kind::region, from.names[0])};
    m_builder.add(region{id, std::string(from.names[0].text), origin_of(from)});
}

void rule_reader::read_link(const statement& from)
{
    expect_options(from, {"delay", "rate", "price"});
    if (!expect_names(from, 2, "link REGION REGION")) {
        return;
    }
    link value;
    value.a = base::region_id{refer(from, named_kind::region, from.names[0])};
    value.b = base::region_id{refer(from, named_kind::region, from.names[1])};
    value.delay = base::milliseconds{
        quantity_of(from, require(from, "delay"), duration_format, value.delay.count())};
    value.rate = base::bytes_per_second{
        quantity_of(from, require(from, "rate"), link_rate_format, value.rate.value())};
    value.price_per_megabyte =
        base::milliseconds{quantity_of(from, find_option(from, "price"), duration_format, 0)};
    value.source = origin_of(from);
    if (value.a == value.b) {
        fault(from, from.names[1], "the link joins a region with itself", "name two regions");
    }
    const auto ends = std::minmax(value.a, value.b);
    const auto [known, added] =
        m_link_lines.emplace(base::hash_pair(ends.first.value(), ends.second.value()), from.line);
    if (!added) {
        fault(from, from.names[0],
              fmt::format("line {} already joins these regions", known->second),
              "keep one of the lines");
    }
    m_builder.add(std::move(value));
}

void rule_reader::read_team(const statement& from)
{
    expect_options(from, {"regions", "home", "rate", "burst", "weight"});
    if (!expect_names(from, 1, "team NAME")) {
        return;
    }
    team value;
    value.id = base::team_id{define(from, named_kind::team, from.names[0])};
    value.name = from.names[0].text;
    const auto* const regions = require(from, "regions");
    value.regions = list_of<base::region_id>(from, named_kind::region, regions);
    if (const auto* const home = find_option(from, "home"); home != nullptr) {
        value.home = base::region_id{refer(from, named_kind::region, home->value)};
        if (regions != nullptr &&
            std::ranges::find(value.regions, *value.home) == value.regions.end()) {
            fault(from, home->value, fmt::format("the home {} is not allowed", quoted(home->value)),
                  "list it in regions= or remove home=");
        }
    }
    value.rate =
        base::tokens_per_second{quantity_of(from, require(from, "rate"), token_rate_format, 1)};
    value.burst = base::tokens{quantity_of(from, require(from, "burst"), token_format, 1)};
    value.weight = static_cast<std::uint32_t>(
        quantity_of(from, find_option(from, "weight"), team_weight_format, value.weight));
    value.source = origin_of(from);
    m_builder.add(std::move(value));
}

void rule_reader::read_key(const statement& from)
{
    expect_options(from, {});
    if (!expect_names(from, 2, "key TEAM sha256:DIGEST")) {
        return;
    }
    key value;
    value.team = base::team_id{refer(from, named_kind::team, from.names[0])};
    value.source = origin_of(from);
    const auto& text = from.names[1];
    const auto digest = text.text.starts_with(digest_prefix)
                            ? base::digest_from_hex(text.text.substr(digest_prefix.size()))
                            : std::nullopt;
    if (!digest) {
        fault(from, text, "the key is no SHA-256 digest",
              "write sha256: and 64 hexadecimal digits; 'chicorylink key new' makes both");
        return;
    }
    value.digest = *digest;
    const auto [known, added] = m_key_lines.emplace(value.digest, from.line);
    if (!added) {
        fault(from, text, fmt::format("line {} already has this key", known->second),
              "give each key to one team, once");
    }
    m_builder.add(std::move(value));
}

void rule_reader::read_route(const statement& from)
{
    expect_options(from, {"kind", "idempotent", "open", "deadline", "priority"});
    if (!expect_names(from, 1, "route NAME")) {
        return;
    }
    route value;
    value.id = base::route_id{define(from, named_kind::route, from.names[0])};
    value.name = from.names[0].text;
    value.kind = choice_of(from, require(from, "kind"), {"model", "service"}, 0) == 0
                     ? route_kind::model
                     : route_kind::service;
    const auto* const idempotent = value.kind == route_kind::service
                                       ? require(from, "idempotent")
                                       : find_option(from, "idempotent");
    value.idempotent = choice_of(from, idempotent, {"no", "yes"}, 1) == 1;
    value.open_to_all = choice_of(from, find_option(from, "open"), {"no", "yes"}, 0) == 1;
    value.deadline = base::milliseconds{
        quantity_of(from, find_option(from, "deadline"), deadline_format, value.deadline.count())};
    value.order = static_cast<priority>(
        choice_of(from, find_option(from, "priority"), {"high", "normal", "low"}, 1));
    value.source = origin_of(from);
    m_builder.add(std::move(value));
}

void rule_reader::read_target(const statement& from)
{
    expect_options(from, {"region", "address", "routes", "slots", "checks_fencing"});
    if (!expect_names(from, 1, "target NAME")) {
        return;
    }
    target value;
    value.id = base::target_id{define(from, named_kind::target, from.names[0])};
    value.name = from.names[0].text;
    if (const auto* const where = require(from, "region"); where != nullptr) {
        value.region = base::region_id{refer(from, named_kind::region, where->value)};
    }
    value.address = target_address_of(from, require(from, "address"));
    value.routes = list_of<base::route_id>(from, named_kind::route, require(from, "routes"));
    value.slots = static_cast<std::uint32_t>(
        quantity_of(from, find_option(from, "slots"), slots_format, value.slots));
    value.checks_fencing =
        choice_of(from, find_option(from, "checks_fencing"), {"no", "yes"}, 0) == 1;
    value.source = origin_of(from);
    m_builder.add(std::move(value));
}

std::string rule_reader::target_address_of(const statement& from, const option* given)
{
    if (given == nullptr) {
        return {};
    }
    const auto address = canonical_address(given->value.text);
    if (!address) {
        fault(from, given->value,
              fmt::format("{} is no address of one host and port", quoted(given->value)),
              "write IP:port, such as 10.0.3.7:8000 or [fd00::7]:8000");
        return {};
    }
    if (m_vm_addresses.contains(*address)) {
        fault(
            from, given->value,
            fmt::format("{} is a VM of the system; its requests would loop", quoted(given->value)),
            "give the address of the engine or service itself");
    }
    const auto [known, added] = m_target_address_lines.emplace(*address, from.line);
    if (!added) {
        fault(
            from, given->value,
            fmt::format("line {} already has a target at {}", known->second, quoted(given->value)),
            "list its routes in one target line");
    }
    return *address;
}

void rule_reader::read_policy(const statement& from)
{
    expect_names(from, 0, "policy NAME=VALUE");
    expect_options(from, {"tail_weight", "worst_team_weight", "refusal_weight", "sent_away_weight",
                          "stay_home"});
    if (from.options.empty()) {
        fault(from, end_of(from), "the policy sets nothing", "write policy NAME=VALUE");
    }
    for (const auto& given : from.options) {
        read_policy_setting(from, given);
    }
}

void rule_reader::read_policy_setting(const statement& from, const option& given)
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
    const auto found = std::find_if(weights.begin(), weights.end(),
                                    [&](const auto& each) { return each.name == given.name.text; });
    if (found == weights.end() && given.name.text != "stay_home") {
        return;
    }
    auto& source = m_policy.sources.at(static_cast<std::size_t>(found - weights.begin()));
    if (source.line != 0) {
        fault(from, given.name,
              fmt::format("line {} already sets {}", source.line, quoted(given.name)),
              "keep one of them");
        return;
    }
    source = origin_of(from);
    if (found == weights.end()) {
        m_policy.stay_home = base::milliseconds{
            quantity_of(from, &given, duration_format, m_policy.stay_home.count())};
        return;
    }
    m_policy.*(found->member) =
        static_cast<std::uint32_t>(quantity_of(from, &given, policy_weight_format, 0));
}

void rule_reader::fault(const statement& from, const word& at, std::string message,
                        std::string remedy)
{
    m_errors.add(from.line, at.column, std::move(message), std::move(remedy));
}

bool rule_reader::expect_names(const statement& from, std::size_t count, std::string_view usage)
{
    if (from.names.size() == count) {
        return true;
    }
    const auto remedy = fmt::format("write {}, then options and the comment", usage);
    if (from.names.size() < count) {
        fault(from, end_of(from), "a name is missing", remedy);
        return false;
    }
    fault(from, from.names[count],
          fmt::format("{} is one word too many", quoted(from.names[count])), remedy);
    return true;
}

void rule_reader::expect_options(const statement& from,
                                 std::initializer_list<std::string_view> known)
{
    for (const auto& given : from.options) {
        if (std::find(known.begin(), known.end(), given.name.text) != known.end()) {
            continue;
        }
        fault(from, given.name,
              fmt::format("{} has no option {}", from.kind.text, quoted(given.name)),
              known.size() == 0 ? std::string("remove it")
                                : fmt::format("use one of: {}", fmt::join(known, ", ")));
    }
}

const option* rule_reader::require(const statement& from, std::string_view name)
{
    const auto* const found = find_option(from, name);
    if (found == nullptr) {
        fault(from, end_of(from), fmt::format("the {} has no {}=", from.kind.text, name),
              fmt::format("add {}=; see docs/RULES.md", name));
    }
    return found;
}

bool rule_reader::check_name(const statement& from, const word& name)
{
    if (is_name(name.text)) {
        return true;
    }
    if (!name.text.empty() || name.column == 0) {
        fault(from, name, fmt::format("{} is no name", quoted(name)),
              "use up to 63 letters, digits, '.', '_' and '-'; start with a letter or digit");
        return false;
    }
    fault(from, name, "a name is missing", "write a name, or remove the comma or option");
    return false;
}

std::uint64_t rule_reader::define(const statement& from, named_kind kind, const word& name)
{
    check_name(from, name);
    const auto id = base::hash_name(name.text);
    const auto [known, added] = m_defined.at(static_cast<std::size_t>(kind)).emplace(id, from.line);
    if (!added) {
        fault(from, name,
              fmt::format("the {} {} is taken by line {}", name_of(kind), quoted(name),
                          known->second),
              "choose another name or remove one of the lines");
    }
    return id;
}

std::uint64_t rule_reader::refer(const statement& from, named_kind kind, const word& name)
{
    const auto id = base::hash_name(name.text);
    if (!check_name(from, name)) {
        return id;
    }
    if (!m_defined.at(static_cast<std::size_t>(kind)).contains(id)) {
        m_pending.push_back({kind, id, from.line, name});
    }
    return id;
}

std::int64_t rule_reader::quantity_of(const statement& from, const option* given,
                                      const quantity_format& format, std::int64_t otherwise)
{
    if (given == nullptr || given->value.text.empty()) {
        return otherwise;
    }
    auto reading = read_quantity(given->value.text, format);
    if (!reading.fault.empty()) {
        fault(from, given->value, std::move(reading.fault),
              fmt::format("write it like {}={}", given->name.text, format.example));
        return otherwise;
    }
    return reading.value;
}

std::size_t rule_reader::choice_of(const statement& from, const option* given,
                                   std::initializer_list<std::string_view> choices,
                                   std::size_t otherwise)
{
    if (given == nullptr || given->value.text.empty()) {
        return otherwise;
    }
    const auto found = std::find(choices.begin(), choices.end(), given->value.text);
    if (found == choices.end()) {
        fault(from, given->value,
              fmt::format("{} is no value of '{}'", quoted(given->value), given->name.text),
              fmt::format("use one of: {}", fmt::join(choices, ", ")));
        return otherwise;
    }
    return static_cast<std::size_t>(std::distance(choices.begin(), found));
}

template <class Id>
std::vector<Id> rule_reader::list_of(const statement& from, named_kind kind, const option* given)
{
    std::vector<Id> ids;
    if (given == nullptr || given->value.text.empty()) {
        return ids;
    }
    const auto items = split_list(given->value);
    std::unordered_set<std::string_view> seen;
    ids.reserve(items.size());
    for (const auto& item : items) {
        if (!seen.insert(item.text).second) {
            fault(from, item, fmt::format("{} is listed twice", quoted(item)), "list it once");
            continue;
        }
        ids.emplace_back(refer(from, kind, item));
    }
    return ids;
}

std::string_view rule_reader::name_of(named_kind kind)
{
    static constexpr std::array<std::string_view, named_kind_count> names{"region", "team", "route",
                                                                          "target"};
    return names.at(static_cast<std::size_t>(kind));
}

std::shared_ptr<const rulebook> rule_reader::finish()
{
    for (const auto& use : m_pending) {
        if (m_defined.at(static_cast<std::size_t>(use.kind)).contains(use.id)) {
            continue;
        }
        m_errors.add(use.line, use.name.column,
                     fmt::format("no line defines the {} {}", name_of(use.kind), quoted(use.name)),
                     fmt::format("add a {} line or correct the name", name_of(use.kind)));
    }
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
