#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration StoreUnavailableTimeout
    = std::chrono::milliseconds(1500); ///< The store counts as unavailable after this time without a reply.
constexpr Duration MaxListAge = std::chrono::milliseconds(
    2500); ///< After a longer time without a list, servers may be missing from the next one only because their rows expired meanwhile.
constexpr std::size_t MaxInvalidRows = 200; ///< Limit on remembered invalid rows, each of which is logged once.

/** @return Text for a log line: shortened, and without line breaks and other control characters. */
std::string printable(const std::string &text)
{
    constexpr std::size_t MaxBytes = 200;
    std::string line = text.substr(0, MaxBytes);
    std::replace_if(
        line.begin(),
        line.end(),
        [](char c) {
            return c < ' ' || c > '~' || c == '"';
        },
        '?');
    return line;
}

} // namespace

void ProxyState::readAll(ReadCall call, bool isProbe, RowsHandler done)
{
    readPage(std::make_shared<PagedRead>(PagedRead{std::move(call), isProbe, std::move(done), {}}), {});
}

void ProxyState::readPage(const std::shared_ptr<PagedRead> &pagedRead, const std::string &after)
{
    store.call(pagedRead->call(after),
               StoreTimeout,
               pagedRead->isProbe,
               [weak = weak_from_this(), pagedRead](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onPageRead(pagedRead, reply, reason);
                   }
               });
}

void ProxyState::onPageRead(const std::shared_ptr<PagedRead> &pagedRead, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    auto page = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!page) {
        onStoreFailure(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
        pagedRead->done(std::nullopt);
        return;
    }
    onStoreReply(page->nowMs);
    auto &rows = pagedRead->rows.rows;
    if (rows.empty()) {
        // The table gets the version of its first page. So all changes since then are requested later, even those that later pages include.
        pagedRead->rows.version = page->version;
    }
    pagedRead->rows.nowMs = page->nowMs;
    std::move(page->rows.begin(), page->rows.end(), std::back_inserter(rows));
    if (page->hasMore && !rows.empty()) {
        readPage(pagedRead, rows.back().key);
        return;
    }
    pagedRead->done(pagedRead->rows);
}

void ProxyState::watchTables()
{
    const auto readConfig = [](const std::string &) {
        return Platform::readConfigCall();
    };
    const auto onConfig = [this](const TableReplica &table, bool hasChanged) {
        if (hasChanged) {
            applyConfig(table);
        }
        onConfigConfirmed();
    };
    const auto onServers = [this](const TableReplica &table, bool hasChanged) {
        if (hasChanged) {
            applyServerRows(table);
        }
        onServerListCurrent();
    };
    m_configWatcher = std::make_shared<TableWatcher>(*this, TableCalls{readConfig, Platform::watchConfigCall, MaxConfigAge / 2}, onConfig);
    m_serverWatcher = std::make_shared<TableWatcher>(
        *this, TableCalls{Platform::readServersCall, Platform::watchServersCall, Duration::max()}, onServers);
    const auto onCrashes = [this](const TableReplica &table, bool hasChanged) {
        if (hasChanged) {
            applyCrashes(table);
        }
    };
    m_crashWatcher = std::make_shared<TableWatcher>(
        *this, TableCalls{Platform::readCrashesCall, Platform::watchCrashesCall, Duration::max()}, onCrashes);
    m_configWatcher->start();
    m_serverWatcher->start();
    m_crashWatcher->start();
}

void ProxyState::runPeriodicTasks()
{
    if (m_isShutDown) {
        return;
    }
    sendHeartbeat();
    shareCrashes();
    removeExpiredRows();
    sweepTurns();
    outage.runPeriodicTasks();
    versions.runPeriodicTasks();
    runAfter(m_periodicTimer, settings.pollInterval, *this, [](ProxyState &self) {
        self.runPeriodicTasks();
    });
}

void ProxyState::applyServerRows(const TableReplica &table)
{
    m_serverList.clear();
    for (const auto &[key, row] : table.rows()) {
        Error ec;
        if (auto server = Platform::decodeServer(key, row.value, ec)) {
            m_serverList.push_back(std::move(*server));
        } else {
            reportInvalidRow(ec, row.version);
        }
    }
}

void ProxyState::applyMembers(const std::optional<Platform::StoreRows> &rows, TimePoint readAt)
{
    if (!rows) {
        return;
    }
    std::vector<ProxyMember> list;
    for (const auto &it : rows->rows) {
        Error ec;
        if (auto member = Platform::decodeMember(it, ec)) {
            list.push_back(std::move(*member));
        } else {
            reportInvalidRow(ec, it.version);
        }
    }
    members.update(list, now());
    grantor.onMembers(members.alive(now()), readAt, now());
    servers.setProxies(members.count(now()), members.rank(now()));
    crashes.setEntries(members.count(now()));
    auto expired = members.expired(now());
    if (!expired.empty() && claimCleaningRound()) {
        expired.resize(std::min(expired.size(), Platform::MaxRemovedRows));
        callStore(Platform::removeMembersCall(settings.region, expired), "remove_proxies");
    }
}

void ProxyState::sendHeartbeat()
{
    const auto present = now();
    if (!settings.peerListen || present < m_nextHeartbeatAt) {
        return;
    }
    m_nextHeartbeatAt = present + MemberHeartbeatInterval;
    const ProxyMember self{settings.name, settings.peerListen->address, peerServer.port(), 0};
    callStore(Platform::writeMemberCall(settings.region, self), "sign_of_life");
    readMembers();
}

void ProxyState::readMembers()
{
    readAll(
        [region = settings.region](const std::string &after) {
            return Platform::readMembersCall(region, after);
        },
        false,
        [this, present = now()](const auto &rows) {
            applyMembers(rows, present);
        });
}

void ProxyState::onStoreReply(std::uint64_t nowMs)
{
    onStoreReachable();
    m_storeClockMs = nowMs;
    m_storeClockAt = now();
    servers.setStoreClock(std::chrono::milliseconds(nowMs) - m_storeClockAt.time_since_epoch());
}

void ProxyState::onStoreReachable()
{
    m_storeAnsweredAt = now();
    if (std::exchange(m_isStoreUnavailable, false)) {
        log(LogLevel::Info, EventNumber::StoreBack, "peer=store");
        crashes.onStoreBack(now());
        shareCrashes();
    }
    for (const auto &it : std::exchange(m_storeWaiters, {})) {
        if (const auto exchange = it.lock()) {
            exchange->onStoreUpdate(false);
        }
    }
}

void ProxyState::onStoreFailure(const std::string &message)
{
    metrics.count("vanillahall_store_failures_total", {"reason", message});
    m_storeFailedAt = now();
    if (!isStoreReachable() && !std::exchange(m_isStoreUnavailable, true)) {
        log(LogLevel::Warning, EventNumber::StoreAway, "peer=store why=\"" + message + '"');
    }
}

std::uint64_t ProxyState::storeNowMs() const
{
    return m_storeClockMs
        + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_storeClockAt).count());
}

bool ProxyState::isStoreReachable() const
{
    // If no call has failed since the last reply, the store may be holding a long-polling call open because nothing has changed.
    const auto limit = m_storeAnsweredAt && m_storeFailedAt < *m_storeAnsweredAt ? StoreUnavailableTimeout + settings.watchWait
                                                                                 : StoreUnavailableTimeout;
    return m_storeAnsweredAt && now() - *m_storeAnsweredAt < limit;
}

void ProxyState::reportInvalidRow(const Error &reason, std::uint64_t version)
{
    auto &known = m_invalidRows[reason.peer];
    if (known == version) {
        return;
    }
    known = version;
    if (m_invalidRows.size() > MaxInvalidRows) {
        m_invalidRows.clear();
    }
    log(LogLevel::Warning, EventNumber::ConfigRefused, "peer=" + printable(reason.peer) + " why=\"" + printable(reason.message) + '"');
}

void ProxyState::callStore(const Platform::StoreRequest &request, const char *name)
{
    store.call(request, StoreTimeout, false, [weak = weak_from_this(), name](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        const bool isDone = reply && (reply->status == StatusOk || reply->status == StatusConditionFailed);
        if (!self || isDone) {
            return;
        }
        const auto why = reply ? "status " + std::to_string(reply->status) : reason.message;
        self->onStoreFailure(why);
        self->log(LogLevel::Warning, EventNumber::DependencyLost, std::string("peer=store call=") + name + " why=\"" + why + '"');
    });
}

void ProxyState::onServerListCurrent()
{
    const auto present = now();
    const bool wasUnavailable = m_serversReadAt && present - *m_serversReadAt > MaxListAge;
    m_serversReadAt = present;
    m_serversFirstReadAt = m_serversFirstReadAt.value_or(present);
    recordEndedServers(abandoned.onServerList(m_serverList, present));
    updateServers(wasUnavailable);
    versions.onServerList(m_serverList);
    if (wasUnavailable) {
        runAfter(m_expiryTimer, ListingGrace, *this, [](ProxyState &self) {
            // Servers are removed only by a current list; an outdated one may lack servers that are listed again by now.
            if (self.listAge() < StoreUnavailableTimeout) {
                self.updateServers(false);
            }
        });
    }
}

void ProxyState::updateServers(bool wasUnavailable)
{
    for (const auto &it : servers.update(m_serverList, wasUnavailable, now())) {
        const auto listed = std::find_if(m_serverList.begin(), m_serverList.end(), [&it](const Server &server) {
            return server.id == it;
        });
        const bool isListed = listed != m_serverList.end();
        const char *state = !isListed ? "gone" : (listed->isDraining ? "draining" : "ready");
        log(LogLevel::Info,
            EventNumber::ServerChanged,
            "server=" + it + " state=" + state
                + (isListed ? " service=" + listed->service + " zone=" + listed->zone + " version=" + listed->softwareVersion : ""));
    }
}

} // namespace Vanillahall::Forward
