/**
 * Follows one table of the store.
 * Load pattern: as TableReplica says. The table is read whole at the start, after any failure, and seldom as a check; in between the store
 * answers as soon as a row has changed.
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

/** Calls for one table. */
struct TableCalls
{
    std::function<Platform::StoreRequest(const std::string &after)> readAll;                             ///< Reads the rows after a key.
    std::function<Platform::StoreRequest(std::uint64_t version, std::chrono::milliseconds wait)> change; ///< Waits for changes.
};

/** One table that is followed. */
class TableWatcher : public std::enable_shared_from_this<TableWatcher>
{
public:
    /** Gets the table each time that it is known to be up to date. @param hasChanged False if it is as it was. */
    using Taken = std::function<void(const TableReplica &table, bool hasChanged)>;

    /** @param proxy Owns this and stops it before it goes. */
    TableWatcher(ProxyState &proxy, TableCalls calls, Taken taken);

    /** Begins to follow. */
    void start();
    /** Makes no further calls. */
    void stop();

private:
    void step();
    void readAll();
    void waitForChange();
    void allCame(const std::optional<Platform::StoreRows> &rows);
    void changesCame(const std::optional<StoreReply> &reply, const Error &reason);
    void stepAfter(Duration pause);

    ProxyState &m_proxy;
    TableCalls m_calls;
    Taken m_taken;
    TableReplica m_replica;
    boost::asio::steady_timer m_timer;
    TimePoint m_checkAt{}; ///< When the table is read whole next.
    bool m_isStopped = false;
};

} // namespace Vanillahall::Forward
