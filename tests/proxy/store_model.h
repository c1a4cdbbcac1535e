/** Model of the store: rows, their changes, and injected faults. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Vanillahall::Forward {

/** Response of a scripted peer to one request. */
struct Script
{
    std::string bytes;               ///< Bytes to send; "{id}" is replaced by the id of the request.
    bool closes = false;             ///< True to close the connection afterwards.
    bool resets = false;             ///< True to reset the connection afterwards.
    bool sendsSynchronously = false; ///< True to send and close synchronously, before any other handler runs.
};

/** Rows and behavior of the store. */
struct StoreModel
{
    std::string config;                                        ///< Value of the configuration row; empty if there is none.
    std::map<std::string, std::string> servers;                ///< Values of the servers' rows.
    std::map<std::string, std::pair<std::string, int>> tokens; ///< Token rows: base64 value and version.
    std::map<std::string, std::string> members;                ///< Values of the proxies' rows in base64.
    std::map<std::string, std::string> usage;                  ///< Proxies' reports about rate limits, by VM, in base64.
    std::size_t usageCalls = 0;                                ///< Calls about these reports so far.
    bool holdsUsage = false;                                   ///< True to leave these calls without a reply.
    std::map<std::string, std::string> crashRecords;           ///< Values of the crash records, by key.
    std::map<std::string, std::pair<std::string, int>>
        turns;                         ///< Rows of stored turns and their expiry records by "table/part/key": base64 and version.
    std::string downPart;              ///< Partition of the turn tables that answers 503; empty for none.
    bool refusesTurns = false;         ///< True to answer 503 to all calls about turns.
    std::size_t refusedTurnWrites = 0; ///< Number of further writes of turns to answer with 503.
    std::size_t lostTurnReplies = 0;   ///< Number of further writes of turns to execute without a reply.
    bool holdsTurns = false;           ///< True to neither execute nor answer writes of turns.
    std::size_t turnReads = 0;         ///< Reads of turns so far.
    std::size_t turnWrites = 0;        ///< Writes of turns so far.
    std::set<std::string> removed;     ///< Keys of removed rows.
    std::uint64_t nowMs = 1;           ///< Clock of the store, in milliseconds.
    int version = 10;                  ///< Newest version.
    std::size_t tokenReads = 0;        ///< Reads of single token rows so far.
    std::size_t writes = 0;            ///< Writes of token rows so far, refused ones included.
    std::size_t lostReplies = 0;       ///< Number of further writes to execute without a reply.
    bool refusesWrites = false;        ///< True to answer `refusalStatus` to writes.
    unsigned refusalStatus = 503;      ///< Status of refused writes.
    bool refusesAll = false;           ///< True to answer 503 to all calls.
    bool refusesCrashReads = false;    ///< True to answer 503 to reads of the crash records.
    bool suppressesChanges = false;    ///< True to report no changes to watch calls.
    bool hasNoHistory = false;         ///< True to answer 410 to watch calls.
    std::size_t unansweredWatches = 0; ///< Number of further watch calls that get no reply.
    std::size_t fullReads = 0;         ///< Full reads of the server list so far.
    std::size_t watches = 0;           ///< Watch calls for the server list so far.

    using ConditionalTable = std::map<std::string, std::pair<std::string, int>>; ///< Rows by key: base64 value and version.

    ConditionalTable budgetOwners;   ///< Rows of the owners of budgets.
    ConditionalTable streamVersions; ///< Row of the versions at which streams may have begun.

    /** @return Reply to a call. */
    Script answer(const std::string &request);

private:
    /** A row of a table that can be watched. */
    struct ModelRow
    {
        std::string value;
        int version = 0;        ///< Version of its last change.
        bool isRemoved = false; ///< True once removed.
    };
    using Table = std::map<std::string, ModelRow>;

    /** Records what a test has changed since the last call. */
    void recordChanges(Table &table, const std::map<std::string, std::string> &rows);
    Script wholeTable(const Table &table) const;
    Script changes(const Table &table, const std::string &request);

    /** @return Reply to a call about stored turns, or nothing for other calls. */
    std::optional<Script> answerTurns(const std::string &request);
    Script readTurns(const std::string &request);
    Script writeTurns(const std::string &body);
    /** @return Reply to a call about a table whose rows are written on conditions, or nothing for other calls. */
    std::optional<Script> answerTable(const std::string &request, const std::string &name, ConditionalTable &table);

    Table m_config;
    Table m_servers;
    Table m_crashes;
    Script writeTokens(const std::string &key, int expected, const std::string &value);
};

} // namespace Vanillahall::Forward
