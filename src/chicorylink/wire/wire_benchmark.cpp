#include "chicorylink/wire/frame_codec.hpp"
#include "chicorylink/wire/link_state.hpp"
#include "chicorylink/wire/test_peers.hpp"

#include <malloc.h>
#include <memory>

#include <benchmark/benchmark.h>

namespace chicorylink::wire {
namespace {

using testing::bytes_of;
using testing::test_peer;

void encode_and_decode_frame(benchmark::State& state)
{
    const std::vector<std::uint8_t> payload(static_cast<std::size_t>(state.range(0)));
    std::vector<std::uint8_t> encoded;
    for (auto unused : state) {
        encoded.clear();
        append_frame(encoded, {.kind = frame_kind::data,
                               .sender = base::incarnation{1},
                               .stream = stream_number{2},
                               .payload = payload});
        const auto value = decode_frame(std::span{encoded}.subspan(length_prefix_bytes));
        benchmark::DoNotOptimize(value.value().payload.data());
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["frame_bytes"] = static_cast<double>(encoded.size());
}
BENCHMARK(encode_and_decode_frame)->Arg(64)->Arg(1024)->Arg(16384);

void token_through_two_link_states(benchmark::State& state)
{
    const link_limits limits;
    link_state dialer{link_role::dialer, base::vm_id{1}, base::incarnation{1}, limits, {}};
    link_state acceptor{link_role::acceptor, base::vm_id{2}, base::incarnation{2}, limits, {}};
    std::vector<link_event> events;
    const auto transfer = [&](link_state& from, link_state& to) {
        std::vector<std::uint8_t> transferred;
        from.take_output(transferred, 1U << 20U, {});
        events.clear();
        to.receive(transferred, {}, events).value();
    };
    transfer(dialer, acceptor);
    acceptor.accept_peer();
    transfer(acceptor, dialer);
    const auto stream = *dialer.open({});
    transfer(dialer, acceptor);
    const std::vector<std::uint8_t> token(120);
    for (auto unused : state) {
        acceptor.send(stream, token);
        transfer(acceptor, dialer);
        dialer.consume(stream, token.size());
        transfer(dialer, acceptor);
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(token_through_two_link_states);

/// Control messages from one network to another over loopback, in plain text.
void control_over_loopback(benchmark::State& state)
{
    test_peer a{"a", 1};
    test_peer b{"b", 2};
    a.network->set_peers({b.address()});
    b.network->set_peers({a.address()});
    a.wait([&] { return !a.connected.empty(); });
    const std::string message(static_cast<std::size_t>(state.range(0)), 'x');
    std::size_t expected = 0;
    constexpr std::size_t batch = 500;
    for (auto unused : state) {
        for (std::size_t i = 0; i < batch; ++i) {
            while (!a.network->send_control(b.vm, channel_id{1}, bytes_of(message))) {
            }
        }
        expected += batch;
        b.wait([&] { return b.control.size() == expected; });
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(expected));
}
BENCHMARK(control_over_loopback)->Arg(64)->Arg(1024)->UseRealTime();

/// Measures the heap bytes of the protocol state of an idle link.
void memory_of_link_states(benchmark::State& state)
{
    constexpr std::size_t links = 1000;
    double bytes = 0;
    for (auto unused : state) {
        std::vector<std::unique_ptr<link_state>> kept;
        kept.reserve(links);
        const auto before = ::mallinfo2().uordblks;
        for (std::size_t i = 0; i < links; ++i) {
            kept.push_back(std::make_unique<link_state>(link_role::acceptor, base::vm_id{1},
                                                        base::incarnation{1}, link_limits{},
                                                        base::time_point{}));
        }
        bytes = static_cast<double>(::mallinfo2().uordblks - before) / links;
    }
    state.counters["bytes_per_link"] = bytes;
}
BENCHMARK(memory_of_link_states)->Iterations(1);

} // namespace
} // namespace chicorylink::wire

BENCHMARK_MAIN();
