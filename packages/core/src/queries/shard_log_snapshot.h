/** Keys of the snapshot objects of a shard. */
#pragma once

#include "vanillahall/core/store_type.h"

#include <vector>

namespace Vanillahall {

/** @return Key of the next snapshot of the holder. Different holders never use the same key. */
ObjectKey nextSnapshotKey(const LeaseRow &row);

/**
 * Lists objects that earlier holders may have left: the one replaced by the current snapshot, and newer ones that no row ever referred to.
 * @param row The row as the new holder took it over.
 * @return Keys; most of them don't exist.
 */
std::vector<ObjectKey> leftoverObjects(const LeaseRow &row);

} // namespace Vanillahall
