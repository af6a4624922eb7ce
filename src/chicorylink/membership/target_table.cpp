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

std::vector<base::target_id> target_table::targets_to_poll(const view& seen) const
{
    const auto* self = membership::find(seen, m_self);
    std::vector<base::target_id> polled;
    if (self == nullptr) {
        return polled;
    }
    for (const auto& [id, known] : m_targets) {
        if (poller_of(seen, self->region, id) == m_self) {
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
        const auto place = m_targets.find(base::id_of<base::target_id>(each.name));
        if (place == m_targets.end()) {
            continue;
        }
        auto& known = place->second;
        m_urgent = m_urgent || (each.leaving && !known.listed_leaving);
        known.listed_leaving = each.leaving;
    }
}

void target_table::on_poll(target_report report, base::time_point now)
{
    const auto place = m_targets.find(report.target);
    if (place == m_targets.end()) {
        return;
    }
    auto& known = place->second;
    const bool was_good = known.report && known.report->reachable && !known.report->leaving;
    m_urgent = m_urgent || (was_good && (!report.reachable || report.leaving));
    report.sequence = ++m_sequence;
    store(known, report, now);
    known.polled_by_self = true;
}

void target_table::receive(const target_reports& received, base::time_point now)
{
    for (const auto& report : received.reports) {
        const auto place = m_targets.find(report.target);
        if (place == m_targets.end()) {
            continue;
        }
        auto& known = place->second;
        const bool newer = !known.report || now - report.age >= known.made;
        if (newer) {
            store(known, report, now);
            known.polled_by_self = false;
        }
    }
}

void target_table::store(record& known, const target_report& report, base::time_point now)
{
    known.report = report;
    known.made = now - report.age;
}

std::optional<target_reports> target_table::take_reports(std::size_t receivers,
                                                         base::time_point now)
{
    target_reports out{.from = m_self, .process = m_process};
    if (!m_urgent && now < m_next_share) {
        return std::nullopt;
    }
    for (const auto& [id, known] : m_targets) {
        if (!known.polled_by_self || !known.report) {
            continue;
        }
        out.reports.push_back(*known.report);
        out.reports.back().leaving = known.report->leaving || known.listed_leaving;
        out.reports.back().age = elapsed(known.made, now);
    }
    m_urgent = false;
    m_next_share = now + share_interval(receivers, out.reports.size());
    if (out.reports.empty()) {
        return std::nullopt;
    }
    return out;
}

target_status target_table::describe(base::target_id id, const record& known,
                                     base::time_point now) const
{
    target_status status{.id = id, .leaving = known.listed_leaving, .report = known.report};
    if (known.report) {
        status.leaving = status.leaving || known.report->leaving;
        status.reachable = known.report->reachable;
        status.report_age = elapsed(known.made, now);
    }
    return status;
}

std::optional<target_status> target_table::find(base::target_id target, base::time_point now) const
{
    const auto place = m_targets.find(target);
    if (place == m_targets.end()) {
        return std::nullopt;
    }
    return describe(target, place->second, now);
}

std::vector<target_status> target_table::all(base::time_point now) const
{
    std::vector<target_status> known;
    known.reserve(m_targets.size());
    for (const auto& [id, each] : m_targets) {
        known.push_back(describe(id, each, now));
    }
    return known;
}

base::milliseconds share_interval(std::size_t receivers, std::size_t reports)
{
    const auto bytes = receivers * (message_bytes + report_bytes * reports);
    const auto needed = 1'000 * bytes / share_bytes_per_second;
    return std::max(min_share_interval, base::milliseconds{static_cast<std::int64_t>(needed)});
}

base::vm_id poller_of(const view& seen, base::region_id region, base::target_id target)
{
    std::vector<base::vm_id> live;
    for (const auto& each : seen.members) {
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
