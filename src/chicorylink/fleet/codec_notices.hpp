#ifndef CHICORYLINK_FLEET_CODEC_NOTICES_HPP
#define CHICORYLINK_FLEET_CODEC_NOTICES_HPP

#include "chicorylink/fleet/codec_numbers.hpp"
#include "chicorylink/fleet/target_notice.hpp"

#include <vector>

#include <flatbuffers/flatbuffers.h>

// Heartbeats and placement messages both carry target notices, as structs with the same fields.

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

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_NOTICES_HPP
