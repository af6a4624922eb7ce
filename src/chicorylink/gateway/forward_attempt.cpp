#include "chicorylink/base/metrics.hpp"
#include "chicorylink/gateway/codec.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/forwarded_response.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/target_response.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::gateway {
namespace {

/// Chooses the reachable VM of a region to forward to by rendezvous hash of the session, so that
/// all turns of a conversation use the same routing hints.
std::optional<base::vm_id> choose_vm(const services& deps, const active_request& entry,
                                     base::region_id region)
{
    const auto view = deps.view();
    std::optional<base::vm_id> best;
    std::uint64_t best_rank = 0;
    const auto session = entry.routing_request.prefix.session.value();
    const auto seed = session != 0 ? session : entry.id.value();
    for (const auto& vm : view->members) {
        if (vm.region != region || vm.state != membership::member_state::live ||
            !deps.network->is_connected(vm.id)) {
            continue;
        }
        const auto rank = base::hash_pair(seed, vm.id.value());
        if (!best || rank > best_rank) {
            best = vm.id;
            best_rank = rank;
        }
    }
    return best;
}

forwarded_request make_message(const services& deps, const active_request& entry,
                               base::time_point now)
{
    forwarded_request message;
    message.purpose = entry.purpose;
    message.team = entry.team;
    message.key_digest = entry.key_digest;
    message.route = entry.route.id;
    message.version = entry.version;
    message.request_id = entry.correlation_id;
    message.method = entry.content.method;
    message.path = entry.content.path;
    message.query = entry.content.query;
    message.headers = entry.content.headers;
    message.stream = entry.stream;
    message.body_bytes = static_cast<std::uint32_t>(entry.content.body.size());
    message.deadline = std::chrono::duration_cast<base::milliseconds>(entry.deadline - now);
    message.prompt_tokens = entry.prompt_bound;
    message.answer_tokens = entry.answer_bound;
    message.attempt = static_cast<std::uint8_t>(entry.attempts - 1);
    message.ticket = entry.ticket;
    message.session = entry.routing_request.prefix.session.value();
    for (const auto block : entry.routing_request.prefix.blocks) {
        message.blocks.push_back(block.value());
    }
    message.origin = deps.self;
    message.resume_from = entry.progress.next_token;
    return message;
}

refusal lost_link_refusal()
{
    return {refusal_kind::lost_link, "the link to the VM that handled the request was lost",
            "repeat the request if it may run twice, or ask with its ticket", run_outcome::unknown};
}

/// Reports the end of a forward to the router.
void report_forward(services& deps, const active_request& entry, bool reached,
                    base::bytes transferred)
{
    deps.router->on_forward_finished(entry.id, entry.route.id, reached, transferred, deps.now());
}

void on_bytes(services& deps, const active_request_ptr& entry, const dispatch::attempt_id& attempt,
              std::span<const std::uint8_t> bytes)
{
    bool valid = true;
    {
        const std::lock_guard lock(entry->mutex);
        if (!is_current(*entry, attempt)) {
            return;
        }
        entry->last_progress = deps.now();
        valid = take_forwarded_bytes(*entry, bytes, deps.config.max_answer_bytes);
        entry->unconsumed_bytes += bytes.size();
        if (!entry->paused) {
            deps.network->consume(entry->forward->stream(),
                                  std::exchange(entry->unconsumed_bytes, 0));
        }
    }
    if (!valid) {
        finish_refused(deps, entry,
                       {refusal_kind::target_failed, "the forwarded answer can't be read",
                        "run the same version of the daemon on all VMs", run_outcome::unknown});
    }
}

/// Whether the other VM declined without running the request, so that another region may take it.
bool was_declined(const active_request& entry)
{
    const auto& head = entry.forwarded_head;
    return head && !head->stream && head->outcome == run_outcome::not_run &&
           (head->status == status_of(refusal_kind::overloaded) ||
            head->status == status_of(refusal_kind::region_not_allowed));
}

/// The event that the other VM's response confirms for the attempt.
dispatch::attempt_event end_event(const active_request& entry, bool complete)
{
    if (!complete) {
        return dispatch::attempt_event::lost;
    }
    if (entry.response_is_stream) {
        return dispatch::attempt_event::response_complete;
    }
    switch (entry.forwarded_head->outcome) {
    case run_outcome::not_run:
        return dispatch::attempt_event::confirmed_not_run;
    case run_outcome::ran:
        return dispatch::attempt_event::confirmed_ran;
    case run_outcome::unknown:
        break;
    }
    return dispatch::attempt_event::lost;
}

void finish_forward(services& deps, const active_request_ptr& entry,
                    const dispatch::attempt_id& attempt, bool clean)
{
    bool declined = false;
    bool complete = false;
    bool stream = false;
    response_head head;
    std::string body;
    {
        const std::lock_guard lock(entry->mutex);
        if (!is_current(*entry, attempt)) {
            return;
        }
        entry->forward.reset();
        declined = clean && was_declined(*entry);
        complete = clean && is_forwarded_response_complete(*entry);
        dispatch::apply(entry->current_attempt, end_event(*entry, complete));
        stream = entry->response_is_stream;
        head = entry->forwarded_head.value_or(response_head{});
        body = std::exchange(entry->response_body, {});
    }
    report_forward(
        deps, *entry, clean && !declined,
        base::bytes{static_cast<std::int64_t>(body.size() + entry->content.body.size())});
    if (declined) {
        retry_or_refuse(deps, entry,
                        {refusal_kind::overloaded, "no allowed region takes the request now",
                         "ask again after Retry-After", run_outcome::not_run,
                         base::milliseconds{1'000}});
        return;
    }
    if (complete && stream) {
        finish_stream(deps, entry);
        return;
    }
    if (complete) {
        finish_response(deps, entry, {head.status, std::move(head.headers), std::move(body)},
                        head.outcome);
        return;
    }
    retry_or_refuse(deps, entry, lost_link_refusal());
}

wire::stream_handler make_handler(services& deps, const active_request_ptr& entry,
                                  const dispatch::attempt_id& attempt)
{
    wire::stream_handler handler;
    handler.on_data = [&deps, entry, attempt](std::span<const std::uint8_t> bytes) {
        on_bytes(deps, entry, attempt, bytes);
    };
    handler.on_writable = [entry, attempt] {
        const std::lock_guard lock(entry->mutex);
        if (is_current(*entry, attempt) && entry->forward) {
            entry->forward->flush();
        }
    };
    handler.on_end = [&deps, entry, attempt] { finish_forward(deps, entry, attempt, true); };
    handler.on_reset = [&deps, entry, attempt](wire::reset_reason) {
        finish_forward(deps, entry, attempt, false);
    };
    handler.on_lost = [&deps, entry, attempt] { finish_forward(deps, entry, attempt, false); };
    return handler;
}

/// Returns flow control credit for bytes received while the receiver of the response was paused,
/// once it has room.
void consume_when_room(services& deps, const active_request_ptr& entry)
{
    const std::weak_ptr<active_request> weak_entry = entry;
    entry->sink.set_on_room([&deps, weak_entry] {
        const auto found = weak_entry.lock();
        if (!found) {
            return;
        }
        const std::lock_guard lock(found->mutex);
        found->paused = false;
        if (found->forward && found->unconsumed_bytes > 0) {
            deps.network->consume(found->forward->stream(),
                                  std::exchange(found->unconsumed_bytes, 0));
        }
    });
}

/// Opens the stream and sends the body. Its handlers block on the request's lock, which is held
/// here.
/// @return False when nothing was sent.
bool open_forward(services& deps, const active_request_ptr& entry, base::vm_id vm)
{
    const auto now = deps.now();
    const std::lock_guard lock(entry->mutex);
    if (entry->phase == request_phase::done) {
        return true;
    }
    reset_response(*entry);
    const auto attempt = next_attempt(*entry, deps.process.load(), now);
    const auto header = encode(make_message(deps, *entry, now));
    if (!dispatch::begin_write(entry->current_attempt, now)) {
        return false;
    }
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(
                stream, deps.network->open_stream(vm, header, make_handler(deps, entry, attempt)));
            if (entry->phase != request_phase::responding) {
                entry->phase = request_phase::possibly_sent;
            }
            entry->forward = std::make_unique<stream_writer>(*deps.network, stream);
            const auto& body = entry->content.body;
            entry->forward->write(
                {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()});
            entry->forward->finish();
            return true;
        },
        [&] {
            dispatch::apply(entry->current_attempt, dispatch::attempt_event::confirmed_not_run);
            return false;
        });
}

} // namespace

void start_forward(services& deps, const active_request_ptr& entry, base::region_id region)
{
    {
        const std::lock_guard lock(entry->mutex);
        entry->forward_region = region;
    }
    const auto vm = choose_vm(deps, *entry, region);
    if (!vm || !open_forward(deps, entry, *vm)) {
        report_forward(deps, *entry, false, base::bytes{0});
        retry_or_refuse(deps, entry,
                        {refusal_kind::no_target, "no VM of an allowed region can be reached",
                         "ask again after Retry-After", run_outcome::not_run,
                         base::milliseconds{1'000}});
        return;
    }
    consume_when_room(deps, entry);
    deps.metrics->add("chicorylink_forwards_total");
}

void start_forward_to(services& deps, const active_request_ptr& entry, base::vm_id vm)
{
    if (!open_forward(deps, entry, vm)) {
        finish_refused(deps, entry,
                       {refusal_kind::lost_link, "the VM of the ticket can't be reached now",
                        "repeat the request with the same ticket", run_outcome::not_run,
                        base::milliseconds{1'000}});
        return;
    }
    consume_when_room(deps, entry);
}

} // namespace chicorylink::gateway
