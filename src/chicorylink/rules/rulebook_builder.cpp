#include "chicorylink/rules/rulebook_builder.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

base::result<void> reject(const origin& rule_origin, std::string message, std::string remedy)
{
    return base::fail(base::error_kind::invalid_rule,
                      fmt::format("line {}: {}", rule_origin.line, message), std::move(remedy));
}

/// Also releases the vector's unused capacity.
template <class Entry>
void sort_by_id(std::vector<Entry>& entries)
{
    entries.shrink_to_fit();
    std::sort(entries.begin(), entries.end(),
              [](const Entry& left, const Entry& right) { return left.id < right.id; });
}

/// Two entries with the same id have the same name or names whose hashes collide.
template <class Entry>
base::result<void> check_unique(const std::vector<Entry>& sorted)
{
    const auto duplicate =
        std::adjacent_find(sorted.begin(), sorted.end(), [](const Entry& left, const Entry& right) {
            return left.id == right.id;
        });
    if (duplicate == sorted.end()) {
        return {};
    }
    return reject(std::next(duplicate)->source,
                  fmt::format("the name '{}' is taken by '{}' of line {}",
                              std::next(duplicate)->name, duplicate->name, duplicate->source.line),
                  "choose another name");
}

/// Each key belongs to one team.
base::result<void> check_keys_unique(const std::vector<key>& sorted)
{
    const auto duplicate =
        std::adjacent_find(sorted.begin(), sorted.end(), [](const key& left, const key& right) {
            return left.digest == right.digest;
        });
    if (duplicate == sorted.end()) {
        return {};
    }
    return reject(std::next(duplicate)->source,
                  fmt::format("line {} already has this key", duplicate->source.line),
                  "give each key to one team, once");
}

/// Two regions have at most one link.
base::result<void> check_links_unique(const std::vector<link>& sorted)
{
    const auto duplicate =
        std::adjacent_find(sorted.begin(), sorted.end(), [](const link& left, const link& right) {
            return left.a == right.a && left.b == right.b;
        });
    if (duplicate == sorted.end()) {
        return {};
    }
    return reject(std::next(duplicate)->source,
                  fmt::format("line {} already joins these regions", duplicate->source.line),
                  "keep one of the lines");
}

base::result<void> check_team(const rulebook& book, const team& tenant)
{
    if (tenant.regions.empty()) {
        return reject(tenant.source, fmt::format("team '{}' has no region", tenant.name),
                      "name at least one with regions=");
    }
    for (const auto region_id : tenant.regions) {
        if (book.find(region_id) == nullptr) {
            return reject(tenant.source,
                          fmt::format("team '{}' names an unknown region", tenant.name),
                          "add a region line or correct regions=");
        }
    }
    if (tenant.home && !std::ranges::binary_search(tenant.regions, *tenant.home)) {
        return reject(tenant.source,
                      fmt::format("the home of team '{}' is not allowed", tenant.name),
                      "list it in regions= or remove home=");
    }
    if (tenant.rate.value() <= 0 || tenant.burst.value() <= 0 || tenant.weight == 0) {
        return reject(tenant.source, fmt::format("team '{}' has a limit of zero", tenant.name),
                      "give rate=, burst= and weight= values above zero");
    }
    return {};
}

base::result<void> check_target(const rulebook& book, const target& target_rule)
{
    if (book.find(target_rule.region) == nullptr) {
        return reject(target_rule.source,
                      fmt::format("target '{}' is in an unknown region", target_rule.name),
                      "add a region line or correct region=");
    }
    for (const auto route_id : target_rule.routes) {
        if (book.find(route_id) == nullptr) {
            return reject(target_rule.source,
                          fmt::format("target '{}' serves an unknown route", target_rule.name),
                          "add a route line or correct routes=");
        }
    }
    if (target_rule.routes.empty() || target_rule.slots == 0) {
        return reject(target_rule.source,
                      fmt::format("target '{}' can't serve anything", target_rule.name),
                      "give routes= and slots= above zero");
    }
    return {};
}

base::result<void> check_key(const rulebook& book, const key& entry)
{
    if (book.find(entry.team) == nullptr) {
        return reject(entry.source, "the key belongs to an unknown team",
                      "add a team line or remove the key");
    }
    return {};
}

base::result<void> check_link(const rulebook& book, const link& entry)
{
    if (book.find(entry.a) == nullptr || book.find(entry.b) == nullptr || entry.a == entry.b) {
        return reject(entry.source, "the link does not join two known regions",
                      "correct the names of its ends");
    }
    if (entry.rate.value() <= 0 || entry.delay.count() < 0) {
        return reject(entry.source, "the link has no rate or a negative delay",
                      "give rate= above zero and delay= of at least 0ms");
    }
    return {};
}

} // namespace

rulebook_builder::rulebook_builder(base::config_version version) : m_book(new rulebook)
{
    m_book->m_version = version;
}

rulebook_builder& rulebook_builder::key_salt(std::string salt)
{
    m_book->m_key_salt = std::move(salt);
    return *this;
}

rulebook_builder& rulebook_builder::routing_policy(policy value)
{
    m_book->m_policy = std::move(value);
    return *this;
}

rulebook_builder& rulebook_builder::add(region value)
{
    m_book->m_regions.push_back(std::move(value));
    return *this;
}

rulebook_builder& rulebook_builder::add(team value)
{
    std::sort(value.regions.begin(), value.regions.end());
    m_book->m_teams.push_back(std::move(value));
    return *this;
}

rulebook_builder& rulebook_builder::add(key value)
{
    m_book->m_keys.push_back(std::move(value));
    return *this;
}

rulebook_builder& rulebook_builder::add(route value)
{
    m_book->m_routes.push_back(std::move(value));
    return *this;
}

rulebook_builder& rulebook_builder::add(target value)
{
    std::sort(value.routes.begin(), value.routes.end());
    m_book->m_targets.push_back(std::move(value));
    return *this;
}

rulebook_builder& rulebook_builder::add(link value)
{
    if (value.b < value.a) {
        std::swap(value.a, value.b);
    }
    m_book->m_links.push_back(std::move(value));
    return *this;
}

base::result<std::shared_ptr<const rulebook>> rulebook_builder::build()
{
    auto& book = *m_book;
    sort_by_id(book.m_regions);
    sort_by_id(book.m_teams);
    sort_by_id(book.m_routes);
    sort_by_id(book.m_targets);
    book.m_keys.shrink_to_fit();
    std::sort(book.m_keys.begin(), book.m_keys.end(),
              [](const key& left, const key& right) { return left.digest < right.digest; });
    std::sort(book.m_links.begin(), book.m_links.end(), [](const link& left, const link& right) {
        return std::pair(left.a, left.b) < std::pair(right.a, right.b);
    });
    BOOST_LEAF_CHECK(check_unique(book.m_regions));
    BOOST_LEAF_CHECK(check_unique(book.m_teams));
    BOOST_LEAF_CHECK(check_unique(book.m_routes));
    BOOST_LEAF_CHECK(check_unique(book.m_targets));
    BOOST_LEAF_CHECK(check_keys_unique(book.m_keys));
    BOOST_LEAF_CHECK(check_links_unique(book.m_links));
    for (const auto& entry : book.m_teams) {
        BOOST_LEAF_CHECK(check_team(book, entry));
    }
    for (const auto& entry : book.m_keys) {
        BOOST_LEAF_CHECK(check_key(book, entry));
    }
    for (const auto& entry : book.m_targets) {
        BOOST_LEAF_CHECK(check_target(book, entry));
    }
    for (const auto& entry : book.m_links) {
        BOOST_LEAF_CHECK(check_link(book, entry));
    }
    return std::shared_ptr<const rulebook>(std::move(m_book));
}

} // namespace chicorylink::rules
