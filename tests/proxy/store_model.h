/** A scripted store: rows, their changes, and how it fails. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Vanillahall::Forward {

/** What a scripted peer does with one request. */
struct Script
{
    std::string bytes;   ///< Sent at once; "{id}" is replaced by the id of the request.
    bool closes = false; ///< True to close the connection after that.
    bool resets = false; ///< True to reset it.
    bool atOnce = false; ///< True to send and close before anything else runs.
};

/** The store's rows and how it behaves. */
struct StoreModel
{
    std::string config;                                        ///< Value of the configuration row; empty if there is none.
    std::map<std::string, std::string> servers;                ///< Values of the servers' rows.
    std::map<std::string, std::pair<std::string, int>> tokens; ///< Token rows: base64 value and version.
    std::map<std::string, std::string> breaks;                 ///< Values of the rows of broken attempts, by key.
    std::map<std::string, std::pair<std::string, int>> turns; ///< Rows of kept turns and their marks, "table/part/key": base64 and version.
    std::string downPart;                                     ///< Part of the turns' rows that answers 503; empty for none.
    bool refusesTurns = false;                                ///< True to answer all calls about turns with 503.
    std::size_t refusedTurnWrites = 0;                        ///< Writes of turns still to come that are answered with 503.
    std::size_t lostTurns = 0;                                ///< Writes of turns still to come that are done without an answer.
    bool holdsTurns = false;                                  ///< True to leave writes of turns undone and unanswered.
    std::size_t turnReads = 0;                                ///< Reads of turns so far.
    std::size_t turnWrites = 0;                               ///< Writes of turns so far.
    std::set<std::string> removed;                            ///< Keys of rows that were removed.
    std::uint64_t nowMs = 1;                                  ///< The store's clock.
    int version = 10;                                         ///< Newest version.
    std::size_t writes = 0;                                   ///< Token rows written or refused so far.
    std::size_t lostAnswers = 0;                              ///< Writes still to come that are done without an answer.
    bool refusesWrites = false;                               ///< True to answer writes with 503.
    bool refusesAll = false;                                  ///< True to answer everything with 503.
    bool hidesChanges = false;                                ///< True to tell no changes to those who wait for them.
    bool hasNoHistory = false;                                ///< True to answer those who wait for changes with 410.
    std::size_t silentWatches = 0;                            ///< Calls for changes still to come that get no answer.
    std::size_t wholeReads = 0;                               ///< Times that the list of servers was read whole.
    std::size_t watches = 0;                                  ///< Times that changes of the list of servers were asked for.

    /** @return The answer to a call. */
    Script answer(const std::string &request);

private:
    /** A row of a table whose changes are told. */
    struct Kept
    {
        std::string value;      ///< Its value.
        int version = 0;        ///< Version of its last change.
        bool isRemoved = false; ///< True once it is gone.
    };
    using Table = std::map<std::string, Kept>;

    /** Notes what a test has changed since the last call. */
    void noteChanges(Table &table, const std::map<std::string, std::string> &rows);
    Script wholeTable(const Table &table) const;
    Script changes(const Table &table, const std::string &request);

    /** @return The answer to a call about kept turns, or nothing if it is about something else. */
    std::optional<Script> answerTurns(const std::string &request);
    Script readTurns(const std::string &request);
    Script writeTurns(const std::string &body);

    Table m_config;
    Table m_servers;
    Script writeTokens(const std::string &key, int expected, const std::string &value);
};

} // namespace Vanillahall::Forward
