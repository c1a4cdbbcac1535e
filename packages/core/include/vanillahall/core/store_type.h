/** Rows and objects that core stores in the platform's store, and the requests that it sends to it. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/config_type.h"
#include "vanillahall/core/error_type.h"
#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

// Records of a shard's journal.

/** A program was created. */
struct ProgramCreated
{
    ProgramId program;     ///< The new program.
    ProgramId parent;      ///< Its parent; equal to `program` for a root.
    CustomerName customer; ///< The customer who owns it.
    ClassName className;   ///< Its class.
    Budget budget;         ///< Budget of a root program; unused for a sub-agent.
    WallTime began;        ///< When it was created.
    ContentHash request;   ///< Fingerprint of an idempotency key; zero if none was given.
};

/** A non-repeatable call is about to be ordered from exactly one gate. */
struct CallIntended
{
    CallKey key;             ///< The call.
    Attempt attempt;         ///< The order.
    ContentHash content;     ///< Fingerprint of its content.
    ServerName server;       ///< The only gate that the order may be sent to.
    Incarnation incarnation; ///< The run of that gate.
    ServiceCall input;       ///< Input of the call.
    WallTime began;          ///< When the turn was submitted.
};

/** A turn has ended with a result or a final error. */
struct TurnFinished
{
    CallKey key;                 ///< The call.
    ContentHash content;         ///< Fingerprint of its content.
    CallInput input;             ///< Input of the call.
    CallOutcome outcome;         ///< Result or error.
    ServerName server;           ///< Backend server that ran it.
    Attempt attempt;             ///< The order that produced the result.
    WallTime began;              ///< When the turn was submitted.
    WallTime ended;              ///< When the result had arrived.
    std::uint64_t spentTokens{}; ///< Tokens deducted from the budget.
};

/** An operator settled a call whose outcome was unknown. */
struct OutcomeSettled
{
    CallKey key;              ///< The call.
    bool ran{};               ///< True if the operator found that the call was executed.
    std::string operatorName; ///< Operator who settled it.
};

/** A program has ended. */
struct ProgramEnded
{
    ProgramId program; ///< The program.
    WallTime ended;    ///< When it ended.
};

using JournalRecord = std::variant<ProgramCreated, CallIntended, TurnFinished, OutcomeSettled, ProgramEnded>;

/** A group of consecutive records, written in one transaction. */
struct Segment
{
    SegmentNumber number;               ///< Position in the journal.
    RecordNumber first;                 ///< Position of the first record.
    std::vector<JournalRecord> records; ///< In order.
};

/** The whole live state of a shard, as a list of records that rebuilds it. */
struct ShardSnapshot
{
    SegmentNumber upTo;                 ///< Last segment that it includes.
    RecordNumber upToRecord;            ///< Last record that it includes.
    std::vector<JournalRecord> records; ///< In order.
};

/** Row of a shard: its lease and the end of its journal. One conditional write renews the lease and commits records. */
struct LeaseRow
{
    ShardId shard;                     ///< The shard.
    EntryName owner;                   ///< The holder; empty if the shard was handed over and has not been taken over yet.
    Incarnation incarnation;           ///< The holder's run.
    Epoch epoch;                       ///< Fencing number.
    std::uint64_t commit{};            ///< Number of writes to the row; shows after a lost reply whether the write took effect.
    std::vector<EntryName> successors; ///< Entries that may take over as soon as the lease has expired.
    SegmentNumber lastSegment;         ///< Newest segment of the journal.
    RecordNumber lastRecord;           ///< Newest record of the journal.
    SegmentNumber snapshotSegment;     ///< Last segment included in the snapshot; 0 if there is none.
    ObjectKey snapshot;                ///< The snapshot; empty if there is none.
    bool retired{};                    ///< True if it has no live program and no holder any more.
};

/** Content that has crashed backend servers. */
struct QuarantineRow
{
    ContentHash content;             ///< Fingerprint.
    std::vector<ServerName> servers; ///< Servers that it has crashed.
    WallTime until;                  ///< When the quarantine expires.
    bool lifted{};                   ///< True if an operator lifted it.
};

using RowValue = std::variant<LeaseRow, Segment, ConfigRow, QuarantineRow>;

/** A row with its version. */
struct StoredRow
{
    RowKey key;         ///< Key of the row.
    RowVersion version; ///< Version of the row; increases with every write.
    RowValue value;     ///< Content of the row.
};

// Requests to the platform's store.

/** Condition that a row has a certain version; version 0 means that it doesn't exist. */
struct RowCondition
{
    RowKey key;         ///< Which row.
    RowVersion version; ///< Required version.
};

/** Writes a row. */
struct RowPut
{
    RowKey key;     ///< Which row.
    RowValue value; ///< Its new value.
};

/** Atomic transaction: all writes take effect if every condition holds, otherwise none does. */
struct StoreTransaction
{
    std::vector<RowCondition> conditions; ///< Conditions that all have to hold.
    std::vector<RowPut> puts;             ///< Rows to write.
    std::vector<RowKey> removes;          ///< Rows to remove.
};

/** Reads one row. */
struct StoreGet
{
    RowKey key; ///< Which row.
};

/** Reads rows in key order. */
struct StoreScan
{
    RowKey from;               ///< First key, included.
    RowKey to;                 ///< End, not included.
    std::uint32_t limit = 100; ///< Most rows to return.
};

/** Writes an object. */
struct ObjectPut
{
    ObjectKey key;          ///< Which object; it is written once and never changed.
    ShardSnapshot snapshot; ///< Its content.
};

/** Reads an object. */
struct ObjectGet
{
    ObjectKey key; ///< Which object.
};

/** Removes an object. */
struct ObjectRemove
{
    ObjectKey key; ///< Which object.
};

using StoreRequest = std::variant<StoreTransaction, StoreGet, StoreScan, ObjectPut, ObjectGet, ObjectRemove>;

// Replies of the platform's store.

/** The transaction or object write took effect. */
struct StoreDone
{
    RowVersion version; ///< Version given to every row written; 0 for objects.
};

/** A condition did not hold; nothing was written. */
struct StoreConflict
{
};

/** Rows that were read; rows that don't exist are left out. */
struct StoreRows
{
    std::vector<StoredRow> rows; ///< In key order.
    bool more{};                 ///< True if `limit` cut the list.
};

/** An object that was read. */
struct StoreObject
{
    std::optional<ShardSnapshot> snapshot; ///< Nothing if it doesn't exist.
};

/** No reply, or an invalid one. A write may have taken effect, or may still do so later. */
struct StoreFailed
{
    Error error; ///< `run` is NotRun only if the request was certainly not executed.
};

using StoreAnswer = std::variant<StoreDone, StoreConflict, StoreRows, StoreObject, StoreFailed>;

/** State of a VM in the platform's VM list. */
enum class VmState : std::uint8_t {
    Live,    ///< The VM is running.
    Leaving, ///< The VM will be replaced.
};

/** What runs on a VM. */
enum class VmRole : std::uint8_t {
    Entry,  ///< An entry of the system.
    Server, ///< A backend server with its gate.
};

/** One VM of the platform's VM list. */
struct VmListing
{
    std::string name;              ///< Name of the entry or of the backend server.
    VmRole role = VmRole::Server;  ///< What runs on it.
    std::string address;           ///< IP address and port of the link, as "ip:port".
    ZoneName zone;                 ///< Its availability zone.
    VmState state = VmState::Live; ///< State as known to the platform; may be outdated.
};

} // namespace Vanillahall
