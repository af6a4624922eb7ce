#ifndef CHICORYLINK_FLEET_CODEC_CRASHES_HPP
#define CHICORYLINK_FLEET_CODEC_CRASHES_HPP

#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/crash_report.hpp"

#include <vector>

#include <flatbuffers/flatbuffers.h>

// Heartbeats and placement messages both carry reports about subjects of crashes, as structs with
// the same fields and one vector for each kind of subject. An absent vector takes no bytes; most
// messages have no such reports.

namespace chicorylink::fleet {

template <class Coded>
using coded_list = flatbuffers::Vector<const Coded*>;

template <class Coded>
using coded_offset = flatbuffers::Offset<coded_list<Coded>>;

template <class Coded>
void read_crashes(const coded_list<Coded>* from, crash_subject_kind kind,
                  std::vector<crash_report>& to)
{
    if (from != nullptr) {
        for (const auto* entry : *from) {
            to.push_back({{entry->part(), kind},
                          {base::target_id{entry->target()}, entry->started_ms()},
                          base::milliseconds{entry->age_ms()}});
        }
    }
}

template <class Coded>
void read_survivals(const coded_list<Coded>* from, crash_subject_kind kind,
                    std::vector<survival_report>& to)
{
    if (from != nullptr) {
        for (const auto* entry : *from) {
            to.push_back({{entry->part(), kind}, base::milliseconds{entry->age_ms()}});
        }
    }
}

template <class Coded>
void read_quarantines(const coded_list<Coded>* from, crash_subject_kind kind,
                      std::vector<quarantine_report>& to)
{
    if (from != nullptr) {
        for (const auto* entry : *from) {
            to.push_back(
                {{entry->part(), kind}, entry->number(), base::milliseconds{entry->left_ms()}});
        }
    }
}

/// @brief Writes the reports about subjects of one kind, each made by `code`.
template <class Coded, class Report, class Code>
coded_offset<Coded> write_reports(flatbuffers::FlatBufferBuilder& to, crash_subject_kind kind,
                                  const std::vector<Report>& reports, const Code& code)
{
    std::vector<Coded> list;
    for (const auto& report : reports) {
        if (report.subject.kind == kind) {
            list.push_back(code(report));
        }
    }
    return list.empty() ? coded_offset<Coded>{} : to.CreateVectorOfStructs(list);
}

template <class Coded>
coded_offset<Coded> write_crashes(flatbuffers::FlatBufferBuilder& to, crash_subject_kind kind,
                                  const std::vector<crash_report>& reports)
{
    return write_reports<Coded>(to, kind, reports, [](const crash_report& report) {
        return Coded{report.subject.hash, report.run.target.value(), report.run.started_ms,
                     to_wire_ms(report.age)};
    });
}

template <class Coded>
coded_offset<Coded> write_survivals(flatbuffers::FlatBufferBuilder& to, crash_subject_kind kind,
                                    const std::vector<survival_report>& reports)
{
    return write_reports<Coded>(to, kind, reports, [](const survival_report& report) {
        return Coded{report.subject.hash, to_wire_ms(report.age)};
    });
}

template <class Coded>
coded_offset<Coded> write_quarantines(flatbuffers::FlatBufferBuilder& to, crash_subject_kind kind,
                                      const std::vector<quarantine_report>& reports)
{
    return write_reports<Coded>(to, kind, reports, [](const quarantine_report& report) {
        return Coded{report.subject.hash, report.number, to_wire_ms(report.left)};
    });
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_CRASHES_HPP
