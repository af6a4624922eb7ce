#include "chicorylink/routing/codec.hpp"

#include "chicorylink/routing/routing_generated.h"

#include <algorithm>
#include <limits>

#include <flatbuffers/flatbuffers.h>

namespace chicorylink::routing {
namespace {

/// The maximum number of routes of a region; a larger message is rejected.
constexpr std::size_t max_routes = 256;

std::uint32_t to_wire(base::milliseconds value)
{
    constexpr auto most = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, most));
}

} // namespace

std::vector<std::uint8_t> encode(const region_summary& message)
{
    std::vector<wire::route_entry> entries;
    entries.reserve(message.routes.size());
    for (const auto& one : message.routes) {
        entries.emplace_back(one.route.value(), one.slots, one.free_slots,
                             to_wire(one.queue_delay));
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto routes = builder.CreateVectorOfStructs(entries);
    const auto root = wire::Createsummary(builder, message.region.value(), message.sender.value(),
                                          message.process.value(), message.sequence, routes);
    wire::FinishsummaryBuffer(builder, root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

base::result<region_summary> decode(std::span<const std::uint8_t> frame)
{
    flatbuffers::Verifier verifier(frame.data(), frame.size());
    if (!wire::VerifysummaryBuffer(verifier)) {
        return base::fail(base::error_kind::invalid_message, "a region summary is malformed",
                          "check that all VMs run compatible versions");
    }
    const auto* root = wire::Getsummary(frame.data());
    region_summary message{.region = base::region_id{root->region()},
                           .sender = base::vm_id{root->sender()},
                           .sequence = root->sequence(),
                           .process = base::incarnation{root->process()},
                           .routes = {}};
    if (root->routes() == nullptr) {
        return message;
    }
    if (root->routes()->size() > max_routes) {
        return base::fail(base::error_kind::invalid_message, "a region summary has too many routes",
                          "check that all VMs run compatible versions");
    }
    for (const auto* one : *root->routes()) {
        message.routes.push_back({base::route_id{one->route()}, one->slots(), one->free_slots(),
                                  base::milliseconds{one->queue_delay_ms()}});
    }
    return message;
}

} // namespace chicorylink::routing
