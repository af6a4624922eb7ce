#include "chicorylink/gateway/forwarded_stream.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/gateway/codec.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/forwarded_admission.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/stream_writer.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <memory>
#include <mutex>
#include <utility>

namespace chicorylink::gateway {
namespace {

std::span<const std::uint8_t> to_byte_span(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

/// A forwarded request that is being received; used on the network thread only.
struct incoming_request {
    forwarded_request message;
    std::shared_ptr<stream_writer> writer;
    std::string body;
    std::weak_ptr<active_request> running;
    bool handled = false;
};

void send_complete(stream_writer& writer, const http_response& response, run_outcome outcome)
{
    const response_head head{response.status, response.headers, false, outcome,
                             static_cast<std::uint32_t>(response.body.size())};
    writer.write(encode(head));
    writer.write(to_byte_span(response.body));
    writer.finish();
}

response_sink make_sink(services& deps, const std::shared_ptr<stream_writer>& writer)
{
    response_sink sink;
    sink.respond = [writer](const http_response& response, run_outcome outcome) {
        send_complete(*writer, response, outcome);
    };
    sink.begin = [writer](int status, platform::header_list headers) {
        writer->write(encode(response_head{status, std::move(headers), true, run_outcome::ran, 0}));
    };
    sink.append = [writer](std::string_view piece) { return writer->write(to_byte_span(piece)); };
    sink.finish = [writer] { writer->finish(); };
    sink.abort = [&deps, writer] {
        deps.network->reset(writer->stream(), wire::reset_reason::broken);
    };
    sink.set_on_room = [writer](std::function<void()> on_room) {
        writer->set_on_room(std::move(on_room));
    };
    return sink;
}

void run(services& deps, incoming_request& request)
{
    request.handled = true;
    const auto rejection = check_forwarded(deps, request.message);
    if (rejection) {
        send_complete(*request.writer, response_of(*rejection), rejection->outcome);
        return;
    }
    const auto entry = make_forwarded_request(deps, request.message, std::move(request.body),
                                              make_sink(deps, request.writer));
    request.running = entry;
    deps.metrics->add("chicorylink_forwarded_in_total");
    run_forwarded(deps, entry, request.message.purpose);
}

void stop(services& deps, incoming_request& request)
{
    request.handled = true;
    if (const auto entry = request.running.lock()) {
        cancel(deps, entry);
    }
}

wire::stream_handler make_handler(services& deps, const std::shared_ptr<incoming_request>& request)
{
    wire::stream_handler handler;
    handler.on_data = [&deps, request](std::span<const std::uint8_t> bytes) {
        deps.network->consume(request->writer->stream(), bytes.size());
        if (request->handled) {
            return;
        }
        request->body.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
        if (request->body.size() > request->message.body_bytes) {
            request->handled = true;
            deps.network->reset(request->writer->stream(), wire::reset_reason::broken);
        }
    };
    handler.on_end = [&deps, request] {
        if (request->handled) {
            return;
        }
        if (request->body.size() != request->message.body_bytes) {
            deps.network->reset(request->writer->stream(), wire::reset_reason::broken);
            return;
        }
        run(deps, *request);
    };
    handler.on_writable = [request] { request->writer->flush(); };
    handler.on_reset = [&deps, request](wire::reset_reason) { stop(deps, *request); };
    handler.on_lost = [&deps, request] { stop(deps, *request); };
    return handler;
}

} // namespace

wire::stream_handler accept_forwarded(services& deps, base::vm_id /*from*/, wire::stream_id stream,
                                      std::span<const std::uint8_t> header)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<wire::stream_handler> {
            BOOST_LEAF_AUTO(message, decode_forwarded_request(header));
            auto request = std::make_shared<incoming_request>();
            request->message = std::move(message);
            request->writer = std::make_shared<stream_writer>(*deps.network, stream);
            if (request->message.body_bytes > deps.config.max_body_bytes) {
                request->handled = true;
                deps.network->reset(stream, wire::reset_reason::refused);
            }
            return make_handler(deps, request);
        },
        [&] {
            deps.metrics->add("chicorylink_bad_input_total{reason=\"forwarded_request\"}");
            deps.network->reset(stream, wire::reset_reason::refused);
            return wire::stream_handler{};
        });
}

} // namespace chicorylink::gateway
