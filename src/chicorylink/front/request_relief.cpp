#include "chicorylink/front/request_relief.hpp"

#include "chicorylink/front/caller_connection.hpp"
#include "chicorylink/front/front_core.hpp"

#include <utility>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

std::string_view to_string(shed_cause cause)
{
    switch (cause) {
    case shed_cause::over_limit:
        return "over_limit";
    case shed_cause::over_watermark:
        return "over_watermark";
    case shed_cause::paused_too_long:
        return "paused_too_long";
    }
    return "unknown";
}

void log_change(front_core& core)
{
    const auto& all = *core.request_bytes;
    auto& readers = core.readers;
    core.counters.set("request_bytes_held", static_cast<double>(all.held()));
    if (std::exchange(readers.is_full_logged, all.is_full()) == all.is_full()) {
        return;
    }
    auto line = log_event(core, all.is_full() ? "request_memory_full" : "request_memory_freed");
    line.add("held_bytes", std::uint64_t{all.held()});
    line.add("limit_bytes", std::uint64_t{all.limit()});
    line.add("unfinished_bytes", std::uint64_t{all.unfinished_bytes()});
    line.add("unfinished_requests", std::uint64_t{all.unfinished_requests()});
    line.add("paused_requests", std::uint64_t{all.paused_requests()});
    line.add("requests", std::uint64_t{core.exchanges.size()});
    line.add("shed", all.is_full() ? std::uint64_t{0} : readers.shed);
    write_log(core, line);
    if (all.is_full()) {
        core.counters.add("request_memory_full_total");
        readers.shed = 0;
    }
}

void shed_requests(front_core& core, base::time_point now)
{
    auto& all = *core.request_bytes;
    while (const auto choice = all.to_shed(now)) {
        // The bytes are freed with the connection, after the handler that may be running.
        const auto found = core.readers.connections.find(choice->key);
        const auto connection =
            found == core.readers.connections.end() ? nullptr : found->second.lock();
        if (!connection) {
            all.set_unfinished(choice->key, 0, now);
            continue;
        }
        ++core.readers.shed;
        core.counters.add(
            fmt::format("requests_shed_total{{cause=\"{}\"}}", to_string(choice->cause)));
        connection->shed(to_string(choice->cause), now);
    }
}

void resume_requests(front_core& core, base::time_point now)
{
    std::vector<std::shared_ptr<caller_connection>> connections;
    for (const auto& [key, reader] : core.readers.connections) {
        if (core.request_bytes->is_paused(key)) {
            connections.push_back(reader.lock());
        }
    }
    for (const auto& connection : connections) {
        if (connection) {
            connection->resume(now);
        }
    }
}

} // namespace

void relieve_request_memory(front_core& core, base::time_point now)
{
    log_change(core);
    shed_requests(core, now);
    if (core.request_bytes->paused_requests() > 0 &&
        core.request_bytes->may_read(request_memory::small_request_bytes)) {
        resume_requests(core, now);
    }
    log_change(core);
}

} // namespace chicorylink::front
