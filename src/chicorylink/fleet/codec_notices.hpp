#ifndef CHICORYLINK_FLEET_CODEC_NOTICES_HPP
#define CHICORYLINK_FLEET_CODEC_NOTICES_HPP

#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/target_notice.hpp"

#include <vector>

#include <flatbuffers/flatbuffers.h>

// Heartbeats and placement messages both carry target notices and limits, as structs with the same
// fields.

namespace chicorylink::fleet {

template <class Coded>
std::vector<target_notice> read_notices(const flatbuffers::Vector<const Coded*>* from)
{
    std::vector<target_notice> notices;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            notices.push_back({base::target_id{entry->target()}, entry->started_ms(),
                               entry->leaving(), base::milliseconds{entry->wait_ms()}});
        }
    }
    return notices;
}

template <class Coded>
flatbuffers::Offset<flatbuffers::Vector<const Coded*>>
write_notices(flatbuffers::FlatBufferBuilder& to, const std::vector<target_notice>& notices)
{
    std::vector<Coded> list;
    list.reserve(notices.size());
    for (const auto& notice : notices) {
        list.emplace_back(notice.target.value(), notice.started_ms, to_wire_ms(notice.wait),
                          notice.leaving);
    }
    return to.CreateVectorOfStructs(list);
}

/// Coded in place of a rate when a target states no limit any more.
inline constexpr double no_limit = -1;

template <class Coded>
std::vector<limit_report> read_limits(const flatbuffers::Vector<const Coded*>* from)
{
    std::vector<limit_report> reports;
    if (from != nullptr) {
        for (const auto* entry : *from) {
            limit_report report{base::target_id{entry->target()}, entry->started_ms(), std::nullopt,
                                base::milliseconds{entry->age_ms()}};
            if (entry->per_second() >= 0) {
                report.per_second = entry->per_second();
            }
            reports.push_back(report);
        }
    }
    return reports;
}

template <class Coded>
flatbuffers::Offset<flatbuffers::Vector<const Coded*>>
write_limits(flatbuffers::FlatBufferBuilder& to, const std::vector<limit_report>& reports)
{
    if (reports.empty()) {
        // An absent vector takes no bytes; most messages have no limits.
        return 0;
    }
    std::vector<Coded> list;
    list.reserve(reports.size());
    for (const auto& report : reports) {
        list.emplace_back(report.target.value(), report.started_ms,
                          report.per_second.value_or(no_limit), to_wire_ms(report.age));
    }
    return to.CreateVectorOfStructs(list);
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_NOTICES_HPP
