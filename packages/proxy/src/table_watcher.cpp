#include "table_watcher.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration UnavailablePollInterval
    = std::chrono::milliseconds(150); ///< Interval between reads while the store is unavailable; short because requests wait for the store.
constexpr Duration ChangeInterval
    = std::chrono::milliseconds(100); ///< Delay between two calls, such that a burst of changes is combined into few replies.
constexpr Duration BaseCheckInterval = std::chrono::seconds(3); ///< Interval between full reads of an empty table.
constexpr Duration CheckIntervalPerRow = std::chrono::milliseconds(
    50); ///< Added to BaseCheckInterval for each row: 20 rows/s are a few KB/s, within the 6 KB/s that a node has for control traffic.
constexpr std::size_t CheckBytesPerSecond = 6144; ///< Same limit, for tables with few long rows.
constexpr Duration MaxByteCheckInterval = std::chrono::seconds(
    30); ///< Changes that the store doesn't report are noticed by the check only, so that it can't be put off further.

/** @return Interval until a table is read whole again as a check. */
Duration checkInterval(const Platform::StoreRows &table)
{
    std::size_t bytes = 0;
    for (const auto &it : table.rows) {
        bytes += it.value.size();
    }
    const Duration byRows = BaseCheckInterval + CheckIntervalPerRow * static_cast<std::int64_t>(table.rows.size());
    const Duration byBytes = std::chrono::seconds(bytes / CheckBytesPerSecond);
    return std::max(byRows, std::min(byBytes, MaxByteCheckInterval));
}

} // namespace

TableWatcher::TableWatcher(ProxyState &proxy, TableCalls calls, UpdateHandler updateHandler)
    : m_proxy(proxy)
    , m_calls(std::move(calls))
    , m_updateHandler(std::move(updateHandler))
    , m_timer(proxy.loop)
{
}

void TableWatcher::start()
{
    step();
}

void TableWatcher::stop()
{
    m_isStopped = true;
    stopTimer(m_timer);
}

void TableWatcher::step()
{
    // Without the direct route the whole table is read, since other proxies forward no long-polling calls.
    if (!m_replica.isComplete() || now() >= m_checkAt || m_proxy.store.isDirectRouteDown()) {
        readAll();
    } else {
        watchChanges();
    }
}

void TableWatcher::readAll()
{
    m_proxy.readAll(m_calls.readAll, true, [weak = weak_from_this()](const auto &rows) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            self->onTableRead(rows);
        }
    });
}

void TableWatcher::onTableRead(const std::optional<Platform::StoreRows> &rows)
{
    if (!rows || !m_replica.replaceAll(*rows)) {
        m_replica.invalidate();
        scheduleStep(m_proxy.isStoreReachable() ? m_proxy.settings.pollInterval
                                                : std::min(m_proxy.settings.pollInterval, UnavailablePollInterval));
        return;
    }
    m_checkAt = now() + checkInterval(*rows);
    m_updateHandler(m_replica, true);
    scheduleStep(m_proxy.store.isDirectRouteDown() ? m_proxy.settings.pollInterval
                                                   : std::min(m_proxy.settings.pollInterval, ChangeInterval));
}

void TableWatcher::watchChanges()
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(std::min(m_proxy.settings.watchWait, m_calls.maxWait));
    m_proxy.store.watch(m_calls.watch(m_replica.version(), wait), wait, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            self->onChangesRead(reply, reason);
        }
    });
}

void TableWatcher::onChangesRead(const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto changes = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (changes) {
        m_proxy.onStoreReply(changes->nowMs);
        m_updateHandler(m_replica, m_replica.applyChanges(*changes));
        scheduleStep(std::min(m_proxy.settings.pollInterval, ChangeInterval));
        return;
    }
    if (reply && reply->status == StatusGone) {
        m_proxy.log(LogLevel::Info,
                    EventNumber::DependencyLost,
                    "peer=store why=\"store has discarded the history of changes; reading the whole table\"");
        readAll();
        return;
    }
    m_proxy.onStoreFailure(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
    readAll();
}

void TableWatcher::scheduleStep(Duration pause)
{
    runAfter(m_timer, pause, *this, [](TableWatcher &self) {
        self.step();
    });
}

} // namespace Vanillahall::Forward
