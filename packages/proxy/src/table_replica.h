/**
 * Local replica of a table of the store, updated from its changes.
 * Load pattern: hundreds of proxies watch a table that rarely changes. Reading the whole table twice a second would transfer its full size
 * to each of them and cost the store a call each. Replies may be late, duplicated, or older than the replica; the store may have discarded
 * the history of changes.
 */
#pragma once

#include "vanillahall/platform/wire_store_func.h"

#include <map>
#include <string>

namespace Vanillahall::Forward {

/** Last known rows of a table. */
class TableReplica
{
public:
    // Commands.

    /** Replaces all rows. @return False if the table is older than the replica; nothing changes then. */
    bool replaceAll(const Platform::StoreRows &table);
    /** Applies the changes since version(). @return True if any row changed. */
    bool applyChanges(const Platform::StoreRows &changes);
    /** Marks the replica as incomplete because changes may have been missed; the whole table has to be read again. */
    void invalidate();

    // Queries.

    /** @return True if the replica is complete up to version(), such that it can be updated from changes. */
    [[nodiscard]] bool isComplete() const;
    /** @return Version of the store up to which the replica has all changes. */
    [[nodiscard]] std::uint64_t version() const;
    /** @return Rows by key. */
    [[nodiscard]] const std::map<std::string, Platform::StoreRow> &rows() const;

private:
    std::map<std::string, Platform::StoreRow> m_rows;
    std::uint64_t m_version = 0;
    bool m_isComplete = false;
};

} // namespace Vanillahall::Forward
