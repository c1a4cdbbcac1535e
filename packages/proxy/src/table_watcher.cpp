#include "table_watcher.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration PollWhenAway = std::chrono::milliseconds(150); ///< Between reads while the store is away; requests wait for its return.
constexpr Duration ChangePause = std::chrono::milliseconds(100);  ///< Between two calls, so that a storm of changes comes in few answers.
constexpr Duration CheckBase = std::chrono::seconds(3);           ///< Between two checks of an empty table.
constexpr Duration CheckPerRow
    = std::chrono::milliseconds(50); ///< Added for each row: 20 rows a second are a few KB, within the 6 KB/s of a node's control.

} // namespace

TableWatcher::TableWatcher(ProxyState &proxy, TableCalls calls, Taken taken)
    : m_proxy(proxy)
    , m_calls(std::move(calls))
    , m_taken(std::move(taken))
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
    // Other proxies pass on calls that are answered at once, not those that wait.
    if (!m_replica.isWhole() || now() >= m_checkAt || m_proxy.store.isDirectAway()) {
        readAll();
    } else {
        waitForChange();
    }
}

void TableWatcher::readAll()
{
    m_proxy.readAll(m_calls.readAll, true, [weak = weak_from_this()](const auto &rows) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            self->allCame(rows);
        }
    });
}

void TableWatcher::allCame(const std::optional<Platform::StoreRows> &rows)
{
    if (!rows || !m_replica.takeAll(*rows)) {
        m_replica.doubt();
        stepAfter(m_proxy.isStoreNear() ? m_proxy.settings.pollInterval : std::min(m_proxy.settings.pollInterval, PollWhenAway));
        return;
    }
    m_checkAt = now() + CheckBase + CheckPerRow * static_cast<std::int64_t>(rows->rows.size());
    m_taken(m_replica, true);
    stepAfter(m_proxy.store.isDirectAway() ? m_proxy.settings.pollInterval : std::min(m_proxy.settings.pollInterval, ChangePause));
}

void TableWatcher::waitForChange()
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(m_proxy.settings.watchWait);
    m_proxy.store.watch(m_calls.change(m_replica.version(), wait), wait, [weak = weak_from_this()](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped) {
            self->changesCame(reply, reason);
        }
    });
}

void TableWatcher::changesCame(const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto changes = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (changes) {
        m_proxy.storeTold(changes->nowMs);
        m_taken(m_replica, m_replica.takeChanges(*changes));
        stepAfter(std::min(m_proxy.settings.pollInterval, ChangePause));
        return;
    }
    if (reply && reply->status == StatusGone) {
        m_proxy.log(LogLevel::Info, EventNumber::DependencyLost, "peer=store why=\"history of changes is gone, the table is read whole\"");
        readAll();
        return;
    }
    m_proxy.storeFailed(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
    readAll();
}

void TableWatcher::stepAfter(Duration pause)
{
    runAfter(m_timer, pause, *this, [](TableWatcher &self) {
        self.step();
    });
}

} // namespace Vanillahall::Forward
