#include "chicorylink/base/metrics.hpp"

#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace chicorylink::base {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using summary =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

summary make_summary()
{
    return summary{acc::tag::extended_p_square::probabilities = quantiles};
}

/// Splits `name{labels}` into the name and the labels, without the braces.
std::pair<std::string_view, std::string_view> split_labels(std::string_view name)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos) {
        return {name, {}};
    }
    return {name.substr(0, brace), name.substr(brace + 1, name.size() - brace - 2)};
}

void render_summary(std::string& text, std::string_view name, const summary& value)
{
    const auto [base_name, labels] = split_labels(name);
    const std::string_view separator = labels.empty() ? "" : ",";
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        fmt::format_to(std::back_inserter(text), "{}{{{}{}quantile=\"{}\"}} {}\n", base_name,
                       labels, separator, quantiles.at(i), acc::extended_p_square(value)[i]);
    }
    const std::string label_set = labels.empty() ? "" : fmt::format("{{{}}}", labels);
    fmt::format_to(std::back_inserter(text), "{}_sum{} {}\n", base_name, label_set,
                   acc::sum(value));
    fmt::format_to(std::back_inserter(text), "{}_count{} {}\n", base_name, label_set,
                   acc::count(value));
}

template <class Map>
auto& find_or_insert(Map& map, std::string_view name)
{
    const auto found = map.find(name);
    if (found != map.end()) {
        return found->second;
    }
    return map[std::string(name)];
}

} // namespace

struct metrics::shard {
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, summary, std::less<>> summaries;
};

metrics::metrics() : m_shards(new shard[shard_count]) {}

metrics::~metrics() = default;

metrics::shard& metrics::shard_of(std::string_view name) const
{
    return m_shards[std::hash<std::string_view>{}(name) % shard_count];
}

void metrics::add(std::string_view name, std::uint64_t amount)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    find_or_insert(part.counters, name) += amount;
}

void metrics::set(std::string_view name, double value)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    find_or_insert(part.gauges, name) = value;
}

void metrics::observe(std::string_view name, double value)
{
    auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    auto found = part.summaries.find(name);
    if (found == part.summaries.end()) {
        found = part.summaries.emplace(std::string(name), make_summary()).first;
    }
    found->second(value);
}

std::uint64_t metrics::counter(std::string_view name) const
{
    const auto& part = shard_of(name);
    const std::lock_guard lock(part.mutex);
    const auto found = part.counters.find(name);
    return found == part.counters.end() ? 0 : found->second;
}

std::string metrics::render() const
{
    std::string text;
    for (std::size_t i = 0; i < shard_count; ++i) {
        const auto& part = m_shards[i];
        const std::lock_guard lock(part.mutex);
        for (const auto& [name, value] : part.counters) {
            fmt::format_to(std::back_inserter(text), "{} {}\n", name, value);
        }
        for (const auto& [name, value] : part.gauges) {
            fmt::format_to(std::back_inserter(text), "{} {}\n", name, value);
        }
        for (const auto& [name, value] : part.summaries) {
            render_summary(text, name, value);
        }
    }
    return text;
}

} // namespace chicorylink::base
