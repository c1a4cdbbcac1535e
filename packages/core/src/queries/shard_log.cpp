#include "vanillahall/core/shard_log_base.h"

#include "shard_log_state.h"

#include <algorithm>

namespace Vanillahall {

ShardId ShardLog::shard() const
{
    return m_state->shard;
}

ShardPhase ShardLog::phase() const
{
    return m_state->phase;
}

Epoch ShardLog::epoch() const
{
    return m_state->row.epoch;
}

TimePoint ShardLog::validUntil() const
{
    return m_state->validUntil;
}

bool ShardLog::canOrder(TimePoint now) const
{
    return m_state->phase == ShardPhase::Held && !m_state->handOverSent && now < m_state->validUntil;
}

RecordNumber ShardLog::durable() const
{
    return m_state->row.lastRecord;
}

RecordNumber ShardLog::appended() const
{
    return m_state->appended;
}

bool ShardLog::isSnapshotDue() const
{
    const ShardLogState &state = *m_state;
    if (!state.loaded || state.phase != ShardPhase::Held || state.snapshot.step != SnapshotStep::None || state.handOverRequested
        || state.isStoreUnavailable) {
        return false;
    }
    return state.segmentsSinceSnapshot >= state.settings.snapshotSegments
        || state.bytesSinceSnapshot >= std::max(state.settings.snapshotBytes, state.lastSnapshotBytes);
}

bool ShardLog::isStoreUnavailable() const
{
    return m_state->isStoreUnavailable;
}

HeldLease ShardLog::heldLease() const
{
    return HeldLease{m_state->shard, m_state->row.epoch, m_state->version, m_state->row.successors};
}

bool ShardLog::isHandingOver() const
{
    return m_state->handOverRequested;
}

const std::optional<StoredRow> &ShardLog::conflictingRow() const
{
    return m_state->conflictingRow;
}

} // namespace Vanillahall
