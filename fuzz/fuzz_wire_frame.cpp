#include "chicorylink/wire/frame_codec.hpp"
#include "chicorylink/wire/link_state.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace {

using namespace chicorylink; // NOLINT(google-build-using-namespace)

constexpr base::incarnation peer_process{7};

std::vector<std::uint8_t> opening()
{
    std::vector<std::uint8_t> bytes;
    wire::append_frame(bytes, {.kind = wire::frame_kind::hello,
                               .sender = peer_process,
                               .vm = base::vm_id{1},
                               .version = wire::protocol_version});
    return bytes;
}

void feed(wire::link_state& link, const std::vector<std::uint8_t>& bytes)
{
    std::vector<wire::link_event> events;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> { return link.receive(bytes, {}, events); }, [] {});
    std::vector<std::uint8_t> output;
    link.take_output(output, 1U << 20U, {});
}

} // namespace

/// Feeds a link whose peer has identified itself: first raw bytes, then frames built from them.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::vector<std::uint8_t> input{data, data + size};
    for (const bool raw : {true, false}) {
        wire::link_state link{
            wire::link_role::acceptor, base::vm_id{2}, base::incarnation{9}, {}, {}};
        feed(link, opening());
        link.accept_peer();
        if (raw) {
            feed(link, input);
            continue;
        }
        for (std::size_t i = 0; i + 2 < size; i += 3) {
            std::vector<std::uint8_t> frame;
            wire::append_frame(frame, {.kind = static_cast<wire::frame_kind>(data[i]),
                                       .sender = peer_process,
                                       .stream = wire::stream_number{data[i + 1]},
                                       .credit = data[i + 2],
                                       .reason = static_cast<wire::reset_reason>(data[i + 2]),
                                       .payload = input});
            feed(link, frame);
            link.consume(wire::stream_number{data[i + 1]}, data[i + 2]);
            link.send(wire::stream_number{data[i + 1]}, input);
        }
    }
    return 0;
}
