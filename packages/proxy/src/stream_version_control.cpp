#include "stream_version_control.h"

#include "exchange.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_versions_func.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Vanillahall::Forward {

namespace {

constexpr Duration WriteRetryDelay = std::chrono::milliseconds(500); ///< Delay after a failed write.
constexpr unsigned MaxParallelReads = 4; ///< A request that waits for an earlier read first would wait twice as long.

} // namespace

StreamVersionControl::StreamVersionControl(ProxyState &proxy)
    : m_proxy(proxy)
{
}

void StreamVersionControl::runPeriodicTasks()
{
    if (m_proxy.isStoreReachable() && now() >= m_nextReadAt && m_reading == 0) {
        read();
    }
    write();
}

void StreamVersionControl::onServerList(const std::vector<Server> &servers)
{
    std::set<std::string> services;
    for (const auto &route : m_proxy.routes.config().routes) {
        for (const auto &it : route.targets) {
            if (route.repetition == Repetition::Resumable) {
                services.insert(it.service);
            }
        }
    }
    std::vector<SoftwareVersion> listed;
    for (const auto &it : servers) {
        const bool isKnown = std::any_of(listed.begin(), listed.end(), [&it](const SoftwareVersion &known) {
            return known.version == it.softwareVersion && known.service == it.service;
        });
        if (!isKnown && services.contains(it.service)) {
            listed.push_back(it.software());
        }
    }
    m_versions.onListed(listed, now());
    runPeriodicTasks();
}

void StreamVersionControl::confirm(const std::shared_ptr<Exchange> &waiter, TimePoint since)
{
    m_waiters.push_back(waiter);
    const bool isRequested = m_reading != 0 && m_readAt >= since;
    if (!isRequested && m_reading < MaxParallelReads) {
        read();
    }
}

void StreamVersionControl::read()
{
    m_reading++;
    m_readAt = now();
    m_nextReadAt = m_readAt + StreamVersionReadInterval;
    m_proxy.readAll(Platform::readStreamVersionsCall, false, [this, requestedAt = m_readAt](const auto &rows) {
        m_reading--;
        Error ec;
        const auto row = rows ? Platform::decodeStreamVersions(rows->rows, ec) : std::nullopt;
        if (row) {
            m_versions.onRowRead(*row, requestedAt);
        } else if (rows) {
            m_proxy.reportInvalidRow(ec, rows->rows.front().version);
        }
        write();
        for (const auto &it : std::exchange(m_waiters, {})) {
            if (const auto exchange = it.lock()) {
                exchange->onOriginUpdate(!row);
            }
        }
    });
}

void StreamVersionControl::write()
{
    if (!m_proxy.isStoreReachable() || now() < m_nextWriteAt) {
        return;
    }
    const auto row = m_versions.beginWrite(std::chrono::milliseconds(m_proxy.storeNowMs()), m_proxy.members.rank(now()) == 0, now());
    if (!row) {
        return;
    }
    m_proxy.store.call(Platform::writeStreamVersionsCall(*row),
                       StoreTimeout,
                       false,
                       [this, weak = m_proxy.weak_from_this()](const auto &reply, const Error &reason) {
                           if (const auto proxy = weak.lock()) {
                               onWritten(reply, reason);
                           }
                       });
}

void StreamVersionControl::onWritten(const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    if (!answer) {
        m_nextWriteAt = now() + WriteRetryDelay;
        m_versions.onWriteFailed();
        m_proxy.onStoreFailure(ec.message);
        m_proxy.log(LogLevel::Warning, EventNumber::DependencyLost, "peer=store call=write_versions why=\"" + ec.message + '"');
        return;
    }
    if (const auto *done = std::get_if<Platform::TransactionDone>(&*answer)) {
        m_versions.onWritten(done->version);
        return;
    }
    const auto row = Platform::decodeStreamVersions(std::get<Platform::TransactionRefused>(*answer).rows, ec);
    if (!row) {
        m_nextWriteAt = now() + WriteRetryDelay;
        m_versions.onWriteFailed();
        return;
    }
    m_versions.onConflict(*row);
    write();
}

bool StreamVersionControl::isRecorded(const SoftwareVersion &software) const
{
    return m_versions.isRecorded(software);
}

std::vector<SoftwareVersion> StreamVersionControl::recorded() const
{
    return m_versions.recorded();
}

bool StreamVersionControl::hasSeveral() const
{
    return m_versions.hasSeveral();
}

std::optional<SoftwareVersion> StreamVersionControl::unnamed() const
{
    return m_versions.unnamed(std::chrono::milliseconds(m_proxy.storeNowMs()));
}

std::optional<std::vector<SoftwareVersion>> StreamVersionControl::possibleSince(TimePoint since) const
{
    if (!m_versions.isConfirmedSince(since)) {
        return std::nullopt;
    }
    return m_versions.possible(std::chrono::milliseconds(m_proxy.storeNowMs()));
}

} // namespace Vanillahall::Forward
