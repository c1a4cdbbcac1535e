#include "table_replica.h"

#include <algorithm>

namespace Vanillahall::Forward {

bool TableReplica::replaceAll(const Platform::StoreRows &table)
{
    if (table.version < m_version) {
        return false;
    }
    m_rows.clear();
    for (const auto &it : table.rows) {
        m_rows.insert_or_assign(it.key, it);
    }
    m_version = table.version;
    m_isComplete = true;
    return true;
}

bool TableReplica::applyChanges(const Platform::StoreRows &changes)
{
    bool hasChanged = false;
    for (const auto &it : changes.rows) {
        const auto known = m_rows.find(it.key);
        // A replica that was read in several pages may have rows that are newer than its version; older changes must not replace them.
        if (known != m_rows.end() && it.version < known->second.version) {
            continue;
        }
        hasChanged = true;
        if (it.isRemoved) {
            m_rows.erase(it.key);
        } else {
            m_rows.insert_or_assign(it.key, it);
        }
    }
    m_version = std::max(m_version, changes.version);
    return hasChanged;
}

void TableReplica::invalidate()
{
    m_isComplete = false;
}

bool TableReplica::isComplete() const
{
    return m_isComplete;
}

std::uint64_t TableReplica::version() const
{
    return m_version;
}

const std::map<std::string, Platform::StoreRow> &TableReplica::rows() const
{
    return m_rows;
}

} // namespace Vanillahall::Forward
