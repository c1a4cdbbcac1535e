/**
 * Keeps a replica of a table of the store up to date.
 * Load pattern: see TableReplica. The whole table is read at the start, after any failure, and at long intervals as a check; in between, a
 * long-polling call returns as soon as a row changes.
 */
#pragma once

#include "table_replica.h"

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

namespace Vanillahall::Forward {

class ProxyState;
struct StoreReply;

/** Store calls for one table. */
struct TableCalls
{
    std::function<Platform::StoreRequest(const std::string &after)> readAll; ///< Call that reads the rows after a key.
    std::function<Platform::StoreRequest(std::uint64_t version, std::chrono::milliseconds wait)>
        watch;                          ///< Long-polling call for the changes since a version.
    Duration maxWait = Duration::max(); ///< Longest time for which the store may hold a watch call open, if less than the setting.
};

/** Watches one table. */
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
    /** Called each time the table is known to be up to date. @param hasChanged False if no row has changed since the last call. */
    using UpdateHandler = std::function<void(const TableReplica &table, bool hasChanged)>;

    /** @param proxy Owner; must call stop() before it is destroyed. */
    TableWatcher(ProxyState &proxy, TableCalls calls, UpdateHandler updateHandler);

    /** Starts watching. */
    void start();
    /** Stops; no further calls are made. */
    void stop();

private:
    void step();
    void readAll();
    void watchChanges();
    void onTableRead(const std::optional<Platform::StoreRows> &rows);
    void onChangesRead(const std::optional<StoreReply> &reply, const Error &reason);
    void scheduleStep(Duration pause);

    ProxyState &m_proxy;
    TableCalls m_calls;
    UpdateHandler m_updateHandler;
    TableReplica m_replica;
    boost::asio::steady_timer m_timer;
    TimePoint m_checkAt{}; ///< When the whole table is read next as a check.
    bool m_isStopped = false;
};

} // namespace Vanillahall::Forward
