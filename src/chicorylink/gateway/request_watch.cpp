#include "chicorylink/gateway/request_watch.hpp"

#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <optional>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds stream_idle_timeout{60'000};

std::optional<refusal> check_authorization(const services& deps, const rules::rulebook& book,
                                           const active_request& entry)
{
    const auto* team = book.find(entry.team);
    const auto* key = entry.key_digest ? book.find_key(*entry.key_digest) : nullptr;
    if (entry.key_digest && (key == nullptr || key->team != entry.team)) {
        return refusal{refusal_kind::key_withdrawn, "the key was withdrawn",
                       "ask the operators for a key"};
    }
    if (team == nullptr || !rules::may_run_in(*team, deps.region)) {
        return refusal{refusal_kind::region_not_allowed,
                       "the rules do not let the team use this region any more",
                       "ask GET /v1/vms for a VM"};
    }
    return std::nullopt;
}

std::optional<refusal> check_timeouts(active_request& entry, base::time_point now)
{
    const std::lock_guard lock(entry.mutex);
    const bool waiting =
        entry.phase != request_phase::responding && entry.phase != request_phase::done;
    if (waiting && now >= entry.deadline) {
        return refusal{refusal_kind::deadline_exceeded, "no answer began before the deadline",
                       "ask again, or ask for less"};
    }
    if (entry.phase == request_phase::responding && !entry.paused &&
        now - entry.last_progress > stream_idle_timeout) {
        return refusal{refusal_kind::target_failed, "the target stopped sending",
                       "repeat the request", run_outcome::ran};
    }
    return std::nullopt;
}

} // namespace

void end_unauthorized(services& deps, const rules::rulebook& book)
{
    for (const auto& entry : deps.requests->all()) {
        if (const auto rejection = check_authorization(deps, book, *entry)) {
            finish_refused(deps, entry, *rejection);
        }
    }
}

void end_overdue(services& deps)
{
    const auto now = deps.now();
    for (const auto& entry : deps.requests->all()) {
        if (const auto rejection = check_timeouts(*entry, now)) {
            finish_refused(deps, entry, *rejection);
        }
    }
}

} // namespace chicorylink::gateway
