/**
 * Keeps the record of the software versions at which streams may have begun, in the store.
 * Load pattern: many clients resume streams at the same time after a loss, and each needs the record as of its request; one read answers
 * all requests that arrived before it. While the store is slow, several reads are under way.
 */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/stream_versions_base.h"

#include <memory>
#include <optional>
#include <vector>

namespace Vanillahall::Forward {

class Exchange;
class ProxyState;
struct StoreReply;

/** Makes the calls for the record of versions. */
class StreamVersionControl
{
public:
    explicit StreamVersionControl(ProxyState &proxy);

    // Commands.

    /** Reads and writes the record, as far as due. */
    void runPeriodicTasks();
    /** Handles the current list of servers. */
    void onServerList(const std::vector<Server> &servers);
    /**
     * Makes sure that the record is read, and notifies a request when a read has ended, which may be an earlier one.
     * @param since The read has to be requested at this time or later.
     */
    void confirm(const std::shared_ptr<Exchange> &waiter, TimePoint since);

    // Queries.

    /** @return True if streams that no row of a program names may begin at a version. */
    [[nodiscard]] bool isRecorded(const SoftwareVersion &software) const;
    /** @return Versions at which such streams may begin. */
    [[nodiscard]] std::vector<SoftwareVersion> recorded() const;
    /** @return True if streams without a budget have to be named by a row of their own. */
    [[nodiscard]] bool hasSeveral() const;
    /** @return Version at which a stream that no such row names may have begun; nothing if there is none any more. */
    [[nodiscard]] std::optional<SoftwareVersion> unnamed() const;
    /** @return Versions at which a stream that is resumed now may have begun; nothing if they weren't read since a time. */
    [[nodiscard]] std::optional<std::vector<SoftwareVersion>> possibleSince(TimePoint since) const;

private:
    void read();
    void write();
    void onWritten(const std::optional<StoreReply> &reply, const Error &reason);

    ProxyState &m_proxy; ///< The proxy; owns this object.
    StreamVersions m_versions;
    std::vector<std::weak_ptr<Exchange>> m_waiters; ///< Requests that wait for the next read.
    TimePoint m_nextReadAt{};
    TimePoint m_nextWriteAt{};
    TimePoint m_readAt{};   ///< When the last read was requested.
    unsigned m_reading = 0; ///< Number of reads under way.
};

} // namespace Vanillahall::Forward
