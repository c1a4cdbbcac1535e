/**
 * Decides which store rows are read and written for one turn of a stored conversation, from the arrival of its request to the end of its
 * response.
 * Load pattern: the turns of a conversation arrive through any entry, each directly after the one before; entries, power and parts of the
 * store fail in between. A turn whose response ended completely can be found by every entry; a turn whose response was aborted may be lost.
 */
#pragma once

#include "vanillahall/core/turn_cache_base.h"

#include <map>
#include <set>

namespace Vanillahall::Forward {

/** Request data of a turn. */
struct TurnStart
{
    std::string id;       ///< Request id of the turn.
    std::string previous; ///< Request id of the turn that this one continues; empty at the start of a conversation.
    std::string input;    ///< New input, without the earlier turns.
    Duration retention{}; ///< How long the turn is stored after its end.
    std::string program;  ///< Program of the turn; empty if none.
};

/** State of one turn: the rows that were read, the output so far, and the rows that still have to be written. */
class ConversationTurn
{
public:
    /** @param cache Turns cached by this entry; must outlive this object. */
    ConversationTurn(TurnStart start, TurnCache &cache);

    // Commands.

    /** Starts loading the conversation. */
    TurnStep begin();
    /** Handles a row that was read. */
    TurnStep onTurnRead(const TurnRecord &turn);
    /** Handles the reply that the store has no row at this location. */
    TurnStep onTurnMissing(const TurnLocation &location);
    /** Handles a read that the store didn't answer, or answered with a row that can't be decoded. */
    TurnStep onReadFailed(const TurnLocation &location);
    /**
     * Appends event data that was sent to the client, each event's data followed by a line feed. @return False if the turn gets too long to
     * be stored.
     */
    bool addOutput(std::string_view data);
    /**
     * Starts writing the turn; the response is complete except for its end.
     * @param nowMs The store's clock, in milliseconds.
     * @param tokens The program's token row.
     */
    TurnStep onAnswerEnded(std::uint64_t nowMs, const TokenRow &tokens = {});
    /** Handles a row that was written. */
    TurnStep onWritten(const TurnLocation &location);
    /** Handles a write that failed or whose outcome is unknown. */
    TurnStep onWriteFailed(const TurnLocation &location);

    // Queries.

    /** @return The program's token row as stored with the previous turn; nothing without a previous turn of the same program. */
    [[nodiscard]] std::optional<TokenRow> knownTokens() const;
    /** @return Input of this turn. */
    [[nodiscard]] const std::string &input() const;
    /** @return Body for the server: all earlier inputs and outputs of the conversation, then the input of this turn. */
    [[nodiscard]] std::string body() const;
    /** @return Length of body() in bytes. */
    [[nodiscard]] std::size_t bodySize() const;
    /** @return Number of rows that had to be read. */
    [[nodiscard]] std::size_t reads() const;
    /** @return True once the turn is durable. */
    [[nodiscard]] bool isStored() const;
    /** @return Locations that may hold a row of this turn although its response wasn't completed. */
    [[nodiscard]] std::vector<TurnLocation> unfinishedLocations() const;

private:
    void requireTurn(const std::string &id, ReadTurns &reads);
    TurnStep continueReads(ReadTurns reads);
    TurnStep readOtherCopy(const TurnLocation &location);
    [[nodiscard]] TurnRecord makeRecord(std::uint64_t nowMs, const TokenRow &tokens) const;

    TurnStart m_start;
    TurnCache &m_cache;
    std::map<std::string, TurnRecord> m_loadedTurns;   ///< The previous turn and its bases, by id.
    std::set<std::string> m_reading;                   ///< Turns with a read under way.
    std::set<std::string> m_uncertain;                 ///< Turns with at least one location that couldn't be read.
    std::string m_output;                              ///< Event data so far, each event's data followed by a line feed.
    std::map<std::string, TurnRecord> m_pendingWrites; ///< Rows that still have to be written, by turn.
    std::vector<TurnRecord> m_writtenRows;             ///< Rows that the store has confirmed.
    std::set<std::uint32_t> m_triedCopies;             ///< Locations that a write of this turn's row was sent to.
    std::size_t m_reads = 0;
    unsigned m_failedWrites = 0;
    bool m_isStored = false;
};

/** A previous turn with at most this much text is copied into the row of the next turn, so that most conversations need a single read. */
inline constexpr std::size_t MaxInlinedTextBytes = std::size_t{8} * 1024;
/** Limit of a turn's input and output together: a transaction of the store takes 1 MB, and base64 turns three bytes into four. */
inline constexpr std::size_t MaxTurnTextBytes = std::size_t{640} * 1024;
/** Limit of a turn's input; leaves room for its output. */
inline constexpr std::size_t MaxTurnInputBytes = std::size_t{512} * 1024;
/** Limit of a conversation's text; several times the length of a prompt of 120,000 tokens. */
inline constexpr std::size_t MaxConversationBytes = std::size_t{2} * 1024 * 1024;
/** Rows are stored for this much longer than their retention, so that a new turn needn't rewrite every earlier row of its conversation. */
inline constexpr Duration RetentionReserve = std::chrono::seconds(120);
/** When a turn ends, those of its bases are rewritten that wouldn't be stored for its retention and this much longer. */
inline constexpr Duration MinRemainingRetention = std::chrono::seconds(30);
/**
 * Delay before a turn is rewritten after both locations failed, since the store may be over its rate. Doubles up to MaxTurnWriteRetryDelay.
 */
inline constexpr Duration TurnWriteRetryDelay = std::chrono::milliseconds(80);
inline constexpr Duration MaxTurnWriteRetryDelay = std::chrono::milliseconds(400); ///< Clients abandon a stream that is silent for 2 s.

} // namespace Vanillahall::Forward
