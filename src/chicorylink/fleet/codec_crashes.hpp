#ifndef CHICORYLINK_FLEET_CODEC_CRASHES_HPP
#define CHICORYLINK_FLEET_CODEC_CRASHES_HPP

#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/crash_report.hpp"

#include <vector>

#include <flatbuffers/flatbuffers.h>

// Heartbeats and placement messages both carry reports about prompt subjects, as structs with the
// same fields. An absent vector takes no bytes; most messages have no such reports.

namespace chicorylink::fleet {

template <class Coded>
std::vector<crash_report> read_crashes(const flatbuffers::Vector<const Coded*>* from)
{
    std::vector<crash_report> reports;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            reports.push_back({crash_subject{entry->part()},
                               {base::target_id{entry->target()}, entry->started_ms()},
                               base::milliseconds{entry->age_ms()}});
        }
    }
    return reports;
}

template <class Coded>
flatbuffers::Offset<flatbuffers::Vector<const Coded*>>
write_crashes(flatbuffers::FlatBufferBuilder& to, const std::vector<crash_report>& reports)
{
    if (reports.empty()) {
        return 0;
    }
    std::vector<Coded> list;
    list.reserve(reports.size());
    for (const auto& report : reports) {
        list.emplace_back(report.subject.hash, report.run.target.value(), report.run.started_ms,
                          to_wire_ms(report.age));
    }
    return to.CreateVectorOfStructs(list);
}

template <class Coded>
std::vector<survival_report> read_survivals(const flatbuffers::Vector<const Coded*>* from)
{
    std::vector<survival_report> reports;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            reports.push_back({crash_subject{entry->part()}, base::milliseconds{entry->age_ms()}});
        }
    }
    return reports;
}

template <class Coded>
flatbuffers::Offset<flatbuffers::Vector<const Coded*>>
write_survivals(flatbuffers::FlatBufferBuilder& to, const std::vector<survival_report>& reports)
{
    if (reports.empty()) {
        return 0;
    }
    std::vector<Coded> list;
    list.reserve(reports.size());
    for (const auto& report : reports) {
        list.emplace_back(report.subject.hash, to_wire_ms(report.age));
    }
    return to.CreateVectorOfStructs(list);
}

template <class Coded>
std::vector<quarantine_report> read_quarantines(const flatbuffers::Vector<const Coded*>* from)
{
    std::vector<quarantine_report> reports;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            reports.push_back({crash_subject{entry->part()}, entry->number(),
                               base::milliseconds{entry->left_ms()}});
        }
    }
    return reports;
}

template <class Coded>
flatbuffers::Offset<flatbuffers::Vector<const Coded*>>
write_quarantines(flatbuffers::FlatBufferBuilder& to, const std::vector<quarantine_report>& reports)
{
    if (reports.empty()) {
        return 0;
    }
    std::vector<Coded> list;
    list.reserve(reports.size());
    for (const auto& report : reports) {
        list.emplace_back(report.subject.hash, report.number, to_wire_ms(report.left));
    }
    return to.CreateVectorOfStructs(list);
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_CRASHES_HPP
