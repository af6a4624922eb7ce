#include "chicorylink/membership/target_table.hpp"

#include "chicorylink/membership/membership_targets_generated.h"
#include "chicorylink/membership/rendezvous.hpp"

#include <algorithm>

namespace chicorylink::membership {
namespace {

constexpr base::milliseconds min_share_interval{500};
/// Bandwidth limit of one VM for sharing reports.
constexpr std::uint64_t share_bytes_per_second = 1'250;
/// Size of a message without reports, including framing, and of each report.
constexpr std::uint64_t message_bytes = 96;
constexpr std::uint64_t report_bytes = 40;

base::milliseconds elapsed(base::time_point then, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - then);
}

} // namespace

target_table::target_table(base::vm_id self, base::incarnation process)
    : m_self(self), m_process(process)
{
}

void target_table::set_targets(std::vector<base::target_id> targets)
{
    std::ranges::sort(targets);
    std::erase_if(m_targets, [&](const auto& entry) {
        return !std::ranges::binary_search(targets, entry.first);
    });
    for (const auto id : targets) {
        m_targets.try_emplace(id);
    }
}

std::vector<base::target_id> target_table::targets_to_poll(const view& snapshot) const
{
    const auto* self = membership::find(snapshot, m_self);
    std::vector<base::target_id> polled;
    if (self == nullptr) {
        return polled;
    }
    for (const auto& [id, tracked] : m_targets) {
        if (poller_of(snapshot, self->region, id) == m_self) {
            polled.push_back(id);
        }
    }
    return polled;
}

void target_table::on_list(const target_list& list)
{
    if (list.sequence < m_list_sequence) {
        return;
    }
    m_list_sequence = list.sequence;
    for (const auto& each : list.targets) {
        const auto position = m_targets.find(base::id_of<base::target_id>(each.name));
        if (position == m_targets.end()) {
            continue;
        }
        auto& tracked = position->second;
        m_urgent = m_urgent || (each.leaving && !tracked.listed_leaving);
        tracked.listed_leaving = each.leaving;
    }
}

void target_table::on_poll(target_report report, base::time_point now)
{
    const auto position = m_targets.find(report.target);
    if (position == m_targets.end()) {
        return;
    }
    auto& tracked = position->second;
    const bool was_good = tracked.report && tracked.report->reachable && !tracked.report->leaving;
    m_urgent = m_urgent || (was_good && (!report.reachable || report.leaving));
    report.sequence = ++m_sequence;
    store(tracked, report, now);
    tracked.polled_by_self = true;
}

void target_table::receive(const target_reports& received, base::time_point now)
{
    for (const auto& report : received.reports) {
        const auto position = m_targets.find(report.target);
        if (position == m_targets.end()) {
            continue;
        }
        auto& tracked = position->second;
        const bool newer = !tracked.report || now - report.age >= tracked.reported_at;
        if (newer) {
            store(tracked, report, now);
            tracked.polled_by_self = false;
        }
    }
}

void target_table::store(record& tracked, const target_report& report, base::time_point now)
{
    tracked.report = report;
    tracked.reported_at = now - report.age;
}

std::optional<target_reports> target_table::take_reports(std::size_t receivers,
                                                         base::time_point now)
{
    target_reports out{.from = m_self, .process = m_process};
    if (!m_urgent && now < m_next_share) {
        return std::nullopt;
    }
    for (const auto& [id, tracked] : m_targets) {
        if (!tracked.polled_by_self || !tracked.report) {
            continue;
        }
        out.reports.push_back(*tracked.report);
        out.reports.back().leaving = tracked.report->leaving || tracked.listed_leaving;
        out.reports.back().age = elapsed(tracked.reported_at, now);
    }
    m_urgent = false;
    m_next_share = now + share_interval(receivers, out.reports.size());
    if (out.reports.empty()) {
        return std::nullopt;
    }
    return out;
}

target_status target_table::describe(base::target_id id, const record& tracked,
                                     base::time_point now) const
{
    target_status status{.id = id, .leaving = tracked.listed_leaving, .report = tracked.report};
    if (tracked.report) {
        status.leaving = status.leaving || tracked.report->leaving;
        status.reachable = tracked.report->reachable;
        status.report_age = elapsed(tracked.reported_at, now);
    }
    return status;
}

std::optional<target_status> target_table::find(base::target_id target, base::time_point now) const
{
    const auto position = m_targets.find(target);
    if (position == m_targets.end()) {
        return std::nullopt;
    }
    return describe(target, position->second, now);
}

std::vector<target_status> target_table::all(base::time_point now) const
{
    std::vector<target_status> statuses;
    statuses.reserve(m_targets.size());
    for (const auto& [id, each] : m_targets) {
        statuses.push_back(describe(id, each, now));
    }
    return statuses;
}

base::milliseconds share_interval(std::size_t receivers, std::size_t reports)
{
    const auto bytes = receivers * (message_bytes + report_bytes * reports);
    const auto needed = 1'000 * bytes / share_bytes_per_second;
    return std::max(min_share_interval, base::milliseconds{static_cast<std::int64_t>(needed)});
}

base::vm_id poller_of(const view& snapshot, base::region_id region, base::target_id target)
{
    std::vector<base::vm_id> live;
    for (const auto& each : snapshot.members) {
        if (each.region == region && each.state == member_state::live) {
            live.push_back(each.id);
        }
    }
    const auto first = first_by_rendezvous(live, target.value(), 1);
    return first.empty() ? base::vm_id{} : first.front();
}

std::vector<std::uint8_t> encode(const target_reports& value)
{
    flatbuffers::FlatBufferBuilder out;
    std::vector<fbs::TargetReport> packed;
    packed.reserve(value.reports.size());
    for (const auto& each : value.reports) {
        packed.emplace_back(each.target.value(), each.sequence, each.running, each.waiting,
                            each.slots, static_cast<std::uint32_t>(each.age.count()), each.leaving,
                            each.reachable);
    }
    const auto reports = out.CreateVectorOfStructs(packed);
    out.Finish(fbs::CreateTargetReports(out, value.from.value(), value.process.value(), reports));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

base::result<target_reports> decode_reports(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (bytes.empty() || !fbs::VerifyTargetReportsBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message,
                          "a message of target reports is malformed",
                          "check that all VMs run compatible releases");
    }
    const auto& value = *fbs::GetTargetReports(bytes.data());
    target_reports reports{.from = base::vm_id{value.vm()},
                           .process = base::incarnation{value.process()}};
    reports.reports.reserve(value.reports()->size());
    for (const auto* each : *value.reports()) {
        reports.reports.push_back({.target = base::target_id{each->target()},
                                   .sequence = each->sequence(),
                                   .running = each->running(),
                                   .waiting = each->waiting(),
                                   .slots = each->slots(),
                                   .leaving = each->leaving(),
                                   .reachable = each->reachable(),
                                   .age = base::milliseconds{each->age_ms()}});
    }
    return reports;
}

} // namespace chicorylink::membership
