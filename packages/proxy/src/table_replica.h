/**
 * A copy of one table of the store, kept by its changes.
 * Load pattern: hundreds of proxies follow a table that hardly changes; read whole twice a second it costs each of them its size, and the
 * store a call each. Answers may come late, twice, or from before what is known; the history of changes may be gone.
 */
#pragma once

#include "vanillahall/platform/wire_store_func.h"

#include <map>
#include <string>

namespace Vanillahall::Forward {

/** Rows of one table as last heard. */
class TableReplica
{
public:
    // Commands.

    /** Takes the whole table. @return False if it is older than what is known; nothing changes then. */
    bool takeAll(const Platform::StoreRows &table);
    /** Takes the changes since version(). @return True if any row changed. */
    bool takeChanges(const Platform::StoreRows &changes);
    /** Changes may have been missed: the table has to be read whole before the next ones count. */
    void doubt();

    // Queries.

    /** @return True if changes may be asked for. */
    [[nodiscard]] bool isWhole() const;
    /** @return Version of the store up to which all changes are known. */
    [[nodiscard]] std::uint64_t version() const;
    /** @return The rows by their keys. */
    [[nodiscard]] const std::map<std::string, Platform::StoreRow> &rows() const;

private:
    std::map<std::string, Platform::StoreRow> m_rows;
    std::uint64_t m_version = 0;
    bool m_isWhole = false;
};

} // namespace Vanillahall::Forward
