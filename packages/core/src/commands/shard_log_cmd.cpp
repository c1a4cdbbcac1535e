#include "vanillahall/core/shard_log_base.h"

#include "commands/shard_log_part.h"
#include "vanillahall/core/id_func.h"
#include "vanillahall/core/shard_log_func.h"

#include <utility>

namespace Vanillahall {

namespace {

/** Processes the row read before a takeover: claims it if it has the expected version. */
void onClaimRead(ShardLogState &state, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    state.claimRead.reset();
    const auto *rows = std::get_if<StoreRows>(&answer);
    if (rows == nullptr || rows->rows.empty()) {
        markLost(state, "takeover given up: the lease row can't be read", out);
        return;
    }
    const StoredRow &found = rows->rows.front();
    const auto *lease = std::get_if<LeaseRow>(&found.value);
    const bool asExpected = lease != nullptr && !lease->retired
        && (state.expectedVersion.value == 0 ? lease->owner.empty() : found.version == state.expectedVersion);
    if (!asExpected) {
        state.conflictingRow = found;
        markLost(state, "takeover given up: the lease row has changed", out);
        return;
    }
    startClaim(state, LeaseWriteKind::Claim, found.version, *lease, now, out);
}

/** Treats the store as unavailable once a write has had no reply for half its time-out. */
void detectSlowStore(ShardLogState &state, Now now)
{
    if (state.write && state.write->attempt && now.steady >= state.write->lastSent + state.settings.storeTimeLimit / 2) {
        state.isStoreUnavailable = true;
    }
}

} // namespace

StoreRequestId sendStoreRequest(ShardLogOutput &out, StoreRequest body)
{
    const StoreRequestId id = out.nextRequest;
    out.nextRequest.value++;
    out.store.push_back(ShardStoreRequest{id, std::move(body)});
    return id;
}

void writeLog(const ShardLogState &state, LogLevel level, EventNumber event, const std::string &text, ShardLogOutput &out)
{
    out.logs.push_back(WriteLog{
        level, event, std::nullopt, "", "shard " + toText(state.shard) + " epoch " + std::to_string(state.row.epoch.value) + ": " + text});
}

void recordStoreReply(ShardLogState &state, const StoreAnswer &answer)
{
    state.isStoreUnavailable = std::holds_alternative<StoreFailed>(answer);
}

void updatePhase(ShardLogState &state, Now now, ShardLogOutput &out)
{
    const bool valid = now.steady < state.validUntil;
    if (state.phase == ShardPhase::Held && !valid) {
        state.phase = ShardPhase::Lapsed;
        writeLog(state,
                 LogLevel::Warning,
                 EventNumber::LeaseLost,
                 "the lease has expired; it will be renewed unless another entry has taken it",
                 out);
    } else if (state.phase == ShardPhase::Lapsed && valid) {
        state.phase = ShardPhase::Held;
        writeLog(state, LogLevel::Info, EventNumber::LeaseTaken, "the lease had expired and is valid again", out);
    }
}

void markLost(ShardLogState &state, const std::string &why, ShardLogOutput &out)
{
    state.phase = ShardPhase::Lost;
    state.write.reset();
    state.load = JournalLoad();
    state.snapshot = SnapshotWrite();
    writeLog(state, LogLevel::Warning, EventNumber::LeaseLost, why, out);
}

ShardLog::ShardLog(ShardId shard, EntryName self, Incarnation incarnation, ShardLogSettings settings)
    : m_state(std::make_unique<ShardLogState>())
{
    m_state->shard = shard;
    m_state->self = std::move(self);
    m_state->incarnation = incarnation;
    m_state->settings = settings;
    m_state->minWriteInterval = settings.commitWindow;
}

ShardLog::~ShardLog() = default;
ShardLog::ShardLog(ShardLog &&) noexcept = default;
ShardLog &ShardLog::operator=(ShardLog &&) noexcept = default;

void ShardLog::create(Now now, ShardLogOutput &out)
{
    LeaseRow row;
    row.shard = m_state->shard;
    startClaim(*m_state, LeaseWriteKind::Create, RowVersion{}, row, now, out);
}

void ShardLog::takeOver(const StoredRow &lease, Now now, ShardLogOutput &out)
{
    const auto *row = std::get_if<LeaseRow>(&lease.value);
    if (row == nullptr || row->retired) {
        markLost(*m_state, "takeover given up: the row is retired or not a lease row", out);
        return;
    }
    startClaim(*m_state, LeaseWriteKind::Claim, lease.version, *row, now, out);
}

void ShardLog::takeOverVersion(RowVersion version, Now /*now*/, ShardLogOutput &out)
{
    m_state->phase = ShardPhase::Claiming;
    m_state->expectedVersion = version;
    m_state->claimRead = sendStoreRequest(out, StoreGet{leaseKey(m_state->shard)});
}

RecordNumber ShardLog::append(JournalRecord record, Now now, ShardLogOutput & /*out*/)
{
    ShardLogState &state = *m_state;
    if (state.newestInWrite == state.appended) {
        state.pendingSince = now.steady;
    }
    state.appended.value++;
    const std::size_t bytes = recordBytes(record);
    state.pendingRecords.push_back(PendingRecord{state.appended, std::move(record), bytes});
    return state.appended;
}

void ShardLog::tick(Now now, ShardLogOutput &out)
{
    ShardLogState &state = *m_state;
    if (state.phase == ShardPhase::Lost) {
        return;
    }
    updatePhase(state, now, out);
    detectSlowStore(state, now);
    driveSnapshot(state, now, out);
    driveWrite(state, now, out);
    driveLoad(state, now, out);
    drivePromises(state, now, out);
    updatePhase(state, now, out);
}

bool ShardLog::onStoreReply(StoreRequestId request, const StoreAnswer &answer, Now now, ShardLogOutput &out)
{
    ShardLogState &state = *m_state;
    if (state.claimRead == request) {
        recordStoreReply(state, answer);
        onClaimRead(state, answer, now, out);
    } else if (state.write && state.write->attempt == request) {
        recordStoreReply(state, answer);
        onWriteAnswer(state, answer, now, out);
    } else if (state.write && state.write->readBack == request) {
        recordStoreReply(state, answer);
        onReadBack(state, answer, now, out);
    } else if (state.load.request == request) {
        recordStoreReply(state, answer);
        onLoadAnswer(state, answer, now, out);
    } else if (state.snapshot.request == request) {
        recordStoreReply(state, answer);
        onSnapshotAnswer(state, answer);
    } else if (state.cleanup.scan == request) {
        onCleanupScan(state, answer);
    } else if (state.cleanup.objectRemoval == request) {
        onObjectRemoved(state, answer);
    } else {
        return false;
    }
    updatePhase(state, now, out);
    return true;
}

void ShardLog::onOtherHolder(const HeldLease &lease, ShardLogOutput &out)
{
    ShardLogState &state = *m_state;
    if (lease.shard != state.shard || state.phase == ShardPhase::Lost) {
        return;
    }
    const bool claiming = state.phase == ShardPhase::Claiming && state.write;
    const bool superseded = claiming ? lease.epoch >= state.write->row.epoch : state.version.value != 0 && lease.epoch > state.row.epoch;
    if (superseded) {
        markLost(state, "another entry holds the shard with a newer epoch", out);
    }
}

void ShardLog::setSuccessors(std::vector<EntryName> names)
{
    m_state->successors = std::move(names);
}

void ShardLog::setWriteIntervals(Duration commitWindow, Duration renewInterval)
{
    m_state->minWriteInterval = commitWindow;
    m_state->settings.renewInterval = renewInterval;
}

void ShardLog::handOver(const EntryName &to, Now now, ShardLogOutput &out)
{
    m_state->handOverRequested = true;
    m_state->handOverTarget = to;
    driveWrite(*m_state, now, out);
}

} // namespace Vanillahall
