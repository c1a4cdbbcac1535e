#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration StoreNear = std::chrono::milliseconds(1500); ///< Failed calls for so long mean that the store is away.
constexpr Duration ListAway = std::chrono::milliseconds(2500);  ///< A list older than this may have lapsed entries.
constexpr Duration CrashRead
    = std::chrono::seconds(2); ///< Between reads of shared counts; a content may be refused everywhere 3 s after it broke the third server.
constexpr std::size_t MaxFaultyRows = 200; ///< Faulty rows remembered so that each is logged once.

} // namespace

void ProxyState::readAll(ReadCall call, bool isProbe, RowsHandler done)
{
    readPart(std::make_shared<RowReading>(RowReading{std::move(call), isProbe, std::move(done), {}}), {});
}

void ProxyState::readPart(const std::shared_ptr<RowReading> &reading, const std::string &after)
{
    store.call(
        reading->call(after), StoreLimit, reading->isProbe, [weak = weak_from_this(), reading](const auto &reply, const Error &reason) {
            if (const auto self = weak.lock()) {
                self->partCame(reading, reply, reason);
            }
        });
}

void ProxyState::partCame(const std::shared_ptr<RowReading> &reading, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    auto part = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!part) {
        storeFailed(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
        reading->done(std::nullopt);
        return;
    }
    storeTold(part->nowMs);
    auto &rows = reading->rows.rows;
    if (rows.empty()) {
        // Changes since the first part are asked for afterwards, whatever the later parts hold.
        reading->rows.version = part->version;
    }
    reading->rows.nowMs = part->nowMs;
    std::move(part->rows.begin(), part->rows.end(), std::back_inserter(rows));
    if (part->hasMore && !rows.empty()) {
        readPart(reading, rows.back().key);
        return;
    }
    reading->done(reading->rows);
}

void ProxyState::watchTables()
{
    const auto readConfig = [](const std::string &) {
        return Platform::readConfigCall();
    };
    const auto takesConfig = [this](const TableReplica &table, bool hasChanged) {
        if (hasChanged) {
            takeConfig(table);
        }
    };
    const auto takesServers = [this](const TableReplica &table, bool hasChanged) {
        if (hasChanged) {
            takeServerRows(table);
        }
        takeServers();
    };
    m_configWatcher = std::make_shared<TableWatcher>(*this, TableCalls{readConfig, Platform::watchConfigCall}, takesConfig);
    m_serverWatcher
        = std::make_shared<TableWatcher>(*this, TableCalls{Platform::readServersCall, Platform::watchServersCall}, takesServers);
    m_configWatcher->start();
    m_serverWatcher->start();
}

void ProxyState::runPeriodicTasks()
{
    if (m_isShutDown) {
        return;
    }
    beat();
    if (now() >= m_crashesAt) {
        m_crashesAt = now() + CrashRead;
        readCrashes();
    }
    removeOldRows();
    sweepTurns();
    runAfter(m_lookTimer, settings.pollInterval, *this, [](ProxyState &self) {
        self.runPeriodicTasks();
    });
}

void ProxyState::takeConfig(const TableReplica &table)
{
    for (const auto &[key, row] : table.rows()) {
        if (!Platform::isConfigRow(row)) {
            continue;
        }
        Error ec;
        auto config = Platform::decodeConfig(row.value, ec);
        if (!config) {
            rowFaulty(ec, row.version);
            continue;
        }
        const auto version = config->version;
        if (routes.apply(std::move(*config))) {
            log(LogLevel::Info,
                EventNumber::ConfigInForce,
                "config=" + std::to_string(version) + " routes=" + std::to_string(routes.config().routes.size()));
        }
    }
}

void ProxyState::takeServerRows(const TableReplica &table)
{
    m_serverList.clear();
    for (const auto &[key, row] : table.rows()) {
        Error ec;
        if (auto server = Platform::decodeServer(key, row.value, ec)) {
            m_serverList.push_back(std::move(*server));
        } else {
            rowFaulty(ec, row.version);
        }
    }
}

void ProxyState::takeMembers(const std::optional<Platform::StoreRows> &rows)
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
            rowFaulty(ec, it.version);
        }
    }
    members.update(list, now());
    servers.setEntries(members.count(now()));
    auto gone = members.expired(now());
    if (!gone.empty() && takeCleaningTurn()) {
        gone.resize(std::min(gone.size(), Platform::MaxRemovedRows));
        callStore(Platform::removeMembersCall(settings.region, gone), "remove_proxies");
    }
}

void ProxyState::beat()
{
    const auto present = now();
    if (!settings.peerListen || present < m_beatAt) {
        return;
    }
    m_beatAt = present + MemberHeartbeatInterval;
    const ProxyMember self{settings.name, settings.peerListen->address, peerServer.port(), 0};
    callStore(Platform::writeMemberCall(settings.region, self), "sign_of_life");
    readAll(
        [region = settings.region](const std::string &after) {
            return Platform::readMembersCall(region, after);
        },
        false,
        [this](const auto &rows) {
            takeMembers(rows);
        });
}

void ProxyState::storeTold(std::uint64_t nowMs)
{
    storeAnswered();
    m_storeClockMs = nowMs;
    m_storeClockAt = now();
}

void ProxyState::storeAnswered()
{
    m_storeAt = now();
    if (std::exchange(m_isStoreAway, false)) {
        log(LogLevel::Info, EventNumber::StoreBack, "peer=store");
    }
    for (const auto &it : std::exchange(m_storeWaiters, {})) {
        if (const auto exchange = it.lock()) {
            exchange->storeChanged(false);
        }
    }
}

void ProxyState::storeFailed(const std::string &message)
{
    metrics.count("vanillahall_store_failures_total", {"reason", message});
    m_storeFailedAt = now();
    if (!isStoreNear() && !std::exchange(m_isStoreAway, true)) {
        log(LogLevel::Warning, EventNumber::StoreAway, "peer=store why=\"" + message + '"');
    }
}

std::uint64_t ProxyState::storeNowMs() const
{
    return m_storeClockMs
        + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_storeClockAt).count());
}

bool ProxyState::isStoreNear() const
{
    // Without a failure since, the next answer may be held back for lack of changes.
    const auto limit = m_storeAt && m_storeFailedAt < *m_storeAt ? StoreNear + settings.watchWait : StoreNear;
    return m_storeAt && now() - *m_storeAt < limit;
}

void ProxyState::rowFaulty(const Error &reason, std::uint64_t version)
{
    auto &known = m_faultyRows[reason.peer];
    if (known == version) {
        return;
    }
    known = version;
    if (m_faultyRows.size() > MaxFaultyRows) {
        m_faultyRows.clear();
    }
    log(LogLevel::Warning, EventNumber::ConfigRefused, "peer=" + reason.peer + " why=\"" + reason.message + '"');
}

void ProxyState::callStore(const Platform::StoreRequest &request, const char *name)
{
    store.call(request, StoreLimit, false, [weak = weak_from_this(), name](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        const bool isDone = reply && (reply->status == StatusOk || reply->status == StatusConditionFailed);
        if (!self || isDone) {
            return;
        }
        const auto why = reply ? "status " + std::to_string(reply->status) : reason.message;
        self->storeFailed(why);
        self->log(LogLevel::Warning, EventNumber::DependencyLost, std::string("peer=store call=") + name + " why=\"" + why + '"');
    });
}

void ProxyState::takeServers()
{
    const auto present = now();
    const bool wasListUnavailable = m_serversAt && present - *m_serversAt > ListAway;
    m_serversAt = present;
    updateServers(wasListUnavailable);
    if (wasListUnavailable) {
        runAfter(m_lapseTimer, ListingGrace, *this, [](ProxyState &self) {
            // Without a fresh list a lapsed server may be back by now.
            if (self.listAge() < StoreNear) {
                self.updateServers(false);
            }
        });
    }
}

void ProxyState::updateServers(bool wasListUnavailable)
{
    for (const auto &it : servers.update(m_serverList, wasListUnavailable, now())) {
        const auto listed = std::find_if(m_serverList.begin(), m_serverList.end(), [&it](const Server &server) {
            return server.id == it;
        });
        const bool isListed = listed != m_serverList.end();
        const char *state = !isListed ? "gone" : (listed->isDraining ? "draining" : "ready");
        log(LogLevel::Info,
            EventNumber::ServerChanged,
            "server=" + it + " state=" + state + (isListed ? " service=" + listed->service + " zone=" + listed->zone : ""));
    }
}

} // namespace Vanillahall::Forward
