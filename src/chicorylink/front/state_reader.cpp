#include "chicorylink/front/state_reader.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/text.hpp"
#include "chicorylink/fleet/store_watch.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/item_copy.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

constexpr int ok = 200;
constexpr int history_gone = 410;

/// How long the store may hold a watch without changes, for the first delegate of a region and for
/// the others. Each response confirms the configuration as of its request. Including the time until
/// the next response and the delay of a delegate's digests, the age of a confirmation in the region
/// stays below half of the key withdrawal bound.
constexpr base::milliseconds first_watch_time{600};
constexpr base::milliseconds other_watch_time{6000};

/// How much longer than that a watch, and how long a snapshot read, may take before the connection
/// counts as dead. Tolerates a store that is 60 times slower than usual.
constexpr base::milliseconds watch_response_margin{800};
constexpr base::milliseconds snapshot_timeout{1500};

/// Delays after a failed read, doubled up to the longest: every call is billed, even a refused one.
constexpr base::milliseconds min_retry_delay{100};
constexpr base::milliseconds max_retry_delay{800};

/// Changes come in bursts, such as when targets start together; one call after this delay reads
/// them all. The delay is a small part of the time within which a change must take effect.
constexpr base::milliseconds delay_after_changes{150};

/// A configuration that has been unconfirmed for this long is confirmed through a watch of the
/// store, after copies from peers were tried. A third of the key withdrawal bound is left for the
/// calls of a few VMs and for spreading their results to the others.
constexpr base::milliseconds unconfirmed_before_watch{2600};

/// Most bytes of a text of the store in a log line; longer than a key.
constexpr std::size_t max_logged_bytes = 240;

std::string logged(std::string_view text)
{
    return base::printable_excerpt(text, max_logged_bytes);
}

base::milliseconds age_of(base::time_point then, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - then);
}

} // namespace

state_reader::state_reader(front_core& core, std::function<void()> on_change)
    : m_core(core), m_on_change(std::move(on_change)),
      m_store(core.loop, core.settings.store_address), m_delay_timer(core.loop)
{
}

void state_reader::start()
{
    read_snapshot({});
}

std::optional<base::milliseconds> state_reader::watch_time(base::time_point now) const
{
    const auto& self = m_core.settings.self;
    const auto delegates = m_core.members.delegates_of(self.region, now);
    if (delegates.front() == self.ip) {
        return first_watch_time;
    }
    const bool is_delegate =
        std::find(delegates.begin(), delegates.end(), self.ip) != delegates.end();
    const auto confirmed = m_core.state.confirmed_at();
    if (confirmed && now - *confirmed <= unconfirmed_before_watch) {
        return is_delegate ? std::optional{other_watch_time} : std::nullopt;
    }
    fleet::unconfirmed_vm vm;
    vm.ip = self.ip;
    vm.region_vms = m_core.members.region_ips(now).size();
    vm.is_delegate = is_delegate;
    vm.hears_delegate = std::any_of(delegates.begin(), delegates.end(), [&](const std::string& ip) {
        const auto* delegate = m_core.members.find(ip);
        return delegate != nullptr && fleet::roster::is_live(*delegate, now);
    });
    const auto* best = confirmed_peer(now);
    vm.hears_confirmed = best != nullptr && best->second.direct_at &&
                         *best->second.confirmed_age + (now - *best->second.direct_at) <
                             unconfirmed_before_watch / 2;
    return fleet::should_query_store(vm, now) ? std::optional{first_watch_time} : std::nullopt;
}

base::result<store_response> state_reader::read_response(const read_result& result) const
{
    BOOST_LEAF_AUTO(response, m_core.protocol.read_store_response(result.body, result.fields));
    const auto known = m_core.state.as_of().era;
    if (!response.era) {
        response.as_of.era = known;
        for (auto& item : response.items) {
            item.revision.era = known;
        }
    }
    else if (*response.era < known) {
        return base::fail(base::error_kind::invalid_message,
                          fmt::format("store answer: era {} is older than {}",
                                      response.era->value(), known.value()),
                          "check which store answers at the address in the settings");
    }
    return response;
}

void state_reader::read_snapshot(const std::string& after)
{
    if (after.empty()) {
        m_page_items.clear();
    }
    m_core.counters.add("store_reads_total");
    m_store.get(m_core.protocol.snapshot_target(after), snapshot_timeout,
                [this](const read_result& result) { on_snapshot_page(result); });
}

void state_reader::on_snapshot_page(const read_result& result)
{
    if (result.status != ok) {
        retry_later(result);
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(page, read_response(result));
            add_page(std::move(page), result.sent_at);
            return {};
        },
        [&](const base::error& problem) {
            retry_later({0, {}, base::describe(problem), true, result.sent_at, {}});
        },
        [&] {
            retry_later({0, {}, "the answer can't be read", true, result.sent_at, {}});
        });
}

void state_reader::add_page(store_response page, base::time_point sent_at)
{
    on_store_response(page);
    if (m_page_items.empty()) {
        m_snapshot_as_of = page.as_of;
        m_snapshot_sent_at = sent_at;
    }
    if (page.as_of.era != m_snapshot_as_of.era) {
        // The store was restored between two pages.
        m_watch_from = {};
        delay_next_call(min_retry_delay);
        return;
    }
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_page_items));
    if (page.has_more && !m_page_items.empty()) {
        read_snapshot(m_page_items.back().key);
        return;
    }
    report_changes(m_core.state.apply_snapshot(m_page_items, m_snapshot_as_of, m_snapshot_sent_at,
                                               base::boot_now()),
                   "store");
    if (m_snapshot_as_of.era == m_core.state.as_of().era) {
        m_core.state.confirm_targets(m_snapshot_sent_at, base::boot_now());
    }
    m_watch_from = m_snapshot_as_of;
    watch_if_due();
}

void state_reader::watch_if_due()
{
    const auto wait = watch_time(base::boot_now());
    if (!wait || m_watch_from.number == 0 || m_store.is_busy() || m_is_delayed) {
        return;
    }
    m_core.counters.add("store_reads_total");
    m_store.get(m_core.protocol.watch_target(m_watch_from.number, *wait),
                *wait + watch_response_margin,
                [this](const read_result& result) { on_watch(result); });
}

// A response that can't be read, such as one with too many changes, would come again for the same
// revision. The pages of a snapshot are smaller.
void state_reader::on_watch(const read_result& result)
{
    if (result.status == history_gone) {
        write_log(m_core,
                  log_event(m_core, "store_history_gone").add("revision", m_watch_from.number));
        read_snapshot({});
        return;
    }
    if (result.status != ok) {
        if (result.is_unreadable) {
            m_watch_from = {};
        }
        retry_later(result);
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(update, read_response(result));
            on_store_response(update);
            if (update.as_of.era != m_watch_from.era) {
                // The new era may have reached the revision of the watch again, with other changes.
                read_snapshot({});
                return {};
            }
            report_changes(m_core.state.apply_changes(update.items, update.as_of, result.sent_at,
                                                      base::boot_now()),
                           "store");
            m_core.state.confirm_targets(result.sent_at, base::boot_now());
            m_watch_from = std::max(m_watch_from, update.as_of);
            if (update.items.empty()) {
                watch_if_due();
            }
            else {
                delay_next_call(delay_after_changes);
            }
            return {};
        },
        [&](const base::error& problem) {
            m_watch_from = {};
            retry_later({0, {}, base::describe(problem), true, result.sent_at, {}});
        },
        [&] {
            m_watch_from = {};
            retry_later({0, {}, "the answer can't be read", true, result.sent_at, {}});
        });
}

void state_reader::on_store_response(const store_response& response)
{
    for (const auto& problem : response.problems) {
        write_log(m_core,
                  log_event(m_core, "store_item_unreadable").add("reason", logged(problem)));
    }
    m_last_response_at = base::boot_now();
    m_retry_delay = base::milliseconds{0};
    if (std::exchange(m_is_store_lost, false)) {
        write_log(m_core, log_event(m_core, "store_regained"));
    }
}

void state_reader::retry_later(const read_result& result)
{
    if (!std::exchange(m_is_store_lost, true)) {
        write_log(m_core, log_event(m_core, "store_lost")
                              .add("status", result.status)
                              .add("reason", logged(result.problem))
                              .add("waited_ms", age_of(result.sent_at, base::boot_now()).count()));
    }
    m_core.counters.add("store_failures_total");
    if (!result.is_unreadable) {
        m_core.state.note_failed_read(base::boot_now());
    }
    m_retry_delay = std::clamp(m_retry_delay * 2, min_retry_delay, max_retry_delay);
    delay_next_call(m_retry_delay);
}

void state_reader::delay_next_call(base::milliseconds delay)
{
    m_delay_timer.expires_after(delay);
    m_is_delayed = true;
    m_delay_timer.async_wait([this](boost::system::error_code stopped) {
        if (stopped) {
            return;
        }
        m_is_delayed = false;
        if (m_watch_from.number == 0) {
            read_snapshot({});
        }
        else {
            watch_if_due();
        }
    });
}

void state_reader::on_copy(const read_result& result)
{
    if (result.status != ok) {
        write_log(m_core, log_event(m_core, "peer_copy_failed")
                              .add("address", m_peer->address())
                              .add("status", result.status)
                              .add("reason", result.problem));
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(copy, decode_item_copy(result.body, m_core.state.as_of().era));
            if (copy.as_of.number == 0 || !copy.confirmed_age) {
                return {};
            }
            if (copy.after.number != 0 && copy.as_of.era > m_core.state.as_of().era) {
                copy_from(peer_ip(), {});
                return {};
            }
            note_copy(copy);
            const auto* peer = m_core.members.find(peer_ip());
            const bool is_local = peer != nullptr && peer->region == m_core.settings.self.region;
            report_changes(
                apply_item_copy(m_core.state, copy, result.sent_at, is_local, base::boot_now()),
                m_peer->address());
            return {};
        },
        [&](const base::error& problem) {
            write_log(m_core, log_event(m_core, "peer_copy_failed")
                                  .add("address", m_peer->address())
                                  .add("reason", logged(base::describe(problem))));
        },
        [] {});
}

std::string state_reader::peer_ip() const
{
    const auto& address = m_peer->address();
    return address.substr(0, address.rfind(':'));
}

void state_reader::note_copy(const item_copy& copy)
{
    const auto newest = std::max_element(
        copy.items.begin(), copy.items.end(),
        [](const auto& left, const auto& right) { return left.revision < right.revision; });
    if (newest == copy.items.end() || newest->revision <= copy.as_of) {
        return;
    }
    m_core.counters.add("peer_copies_ahead_total");
    write_log(m_core, log_event(m_core, "peer_copy_ahead")
                          .add("address", m_peer->address())
                          .add("after", copy.after.number)
                          .add("as_of", copy.as_of.number)
                          .add("newest", newest->revision.number)
                          .add("items", copy.items.size()));
}

void state_reader::report_changes(const std::vector<fleet::applied_change>& changes,
                                  std::string_view source)
{
    for (const auto& change : changes) {
        if (change.event == fleet::published_state::restored_event) {
            m_core.counters.add("store_restores_total");
        }
        write_log(m_core, log_event(m_core, change.event)
                              .add("name", logged(change.name))
                              .add("revision", change.revision.number)
                              .add("era", change.revision.era.value())
                              .add("detail", logged(change.detail))
                              .add("source", source));
    }
    if (!changes.empty()) {
        m_on_change();
    }
}

} // namespace chicorylink::front
