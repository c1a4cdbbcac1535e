/**
 * One turn of a kept conversation, from the arrival of its request to the end of its answer.
 * Load pattern: the turns of a conversation come through any entry, each at once after the one before; entries, all power, and parts of the
 * store are lost in between. A turn that was answered whole is found by every entry; one whose answer broke off need not be.
 */
#pragma once

#include "vanillahall/core/turn_cache_base.h"

#include <map>
#include <set>

namespace Vanillahall::Forward {

/** A turn that begins. */
struct TurnStart
{
    std::string id;       ///< Request id of the turn.
    std::string previous; ///< Turn that it goes on from; empty at the start of a conversation.
    std::string input;    ///< Its new input.
    Duration retention{}; ///< For how long it is kept after its end.
    std::string program;  ///< Program that it belongs to; empty if none.
};

/** Decides what is read and written for one turn. */
class ConversationTurn
{
public:
    /** @param cache Turns known here; outlives this. */
    ConversationTurn(TurnStart start, TurnCache &cache);

    // Commands.

    /** Begins to find the conversation. */
    TurnStep begin();
    /** A row was read. */
    TurnStep turnRead(const TurnRecord &turn);
    /** The store has no row in this place. */
    TurnStep turnMissing(const TurnPlace &place);
    /** The store didn't answer, or with a row that can't be read. */
    TurnStep readFailed(const TurnPlace &place);
    /** Takes the data of events that the client gets, each followed by a line feed. @return False if the turn gets too long to be kept. */
    bool addOutput(std::string_view data);
    /** The answer is whole but for its end. @param nowMs The store's clock, in milliseconds. @param tokens The program's token row. */
    TurnStep answerEnded(std::uint64_t nowMs, const TokenRow &tokens = {});
    /** A row was written. */
    TurnStep written(const TurnPlace &place);
    /** A row was not written, or it isn't known whether it was. */
    TurnStep writeFailed(const TurnPlace &place);

    // Queries.

    /** @return The program's token row as the turn before knew it; nothing without such a turn of the same program. */
    [[nodiscard]] std::optional<TokenRow> knownTokens() const;
    /** @return All inputs and outputs before this turn and then its input: the body for the server. */
    [[nodiscard]] std::string body() const;
    /** @return Length of body(). */
    [[nodiscard]] std::size_t bodySize() const;
    /** @return Rows that had to be read. */
    [[nodiscard]] std::size_t reads() const;
    /** @return True once the turn is durable. */
    [[nodiscard]] bool isKept() const;
    /** @return Places in which this turn's row may lie although its answer didn't end. */
    [[nodiscard]] std::vector<TurnPlace> unfinishedPlaces() const;

private:
    void need(const std::string &id, ReadTurns &reads);
    TurnStep readOn(ReadTurns reads);
    TurnStep readOtherCopy(const TurnPlace &place);
    [[nodiscard]] TurnRecord makeRecord(std::uint64_t nowMs, const TokenRow &tokens) const;

    TurnStart m_start;
    TurnCache &m_cache;
    std::map<std::string, TurnRecord> m_known; ///< The turn before and its bases.
    std::set<std::string> m_reading;           ///< Turns whose rows are being read.
    std::set<std::string> m_doubtful;          ///< Turns of which one place couldn't be read.
    std::string m_output;                      ///< Data of the events so far, each followed by a line feed.
    std::map<std::string, TurnRecord> m_open;  ///< Rows that are not written yet, by turn.
    std::vector<TurnRecord> m_written;         ///< Rows that are written.
    std::set<std::uint32_t> m_triedCopies;     ///< Places to which this turn's row may have been written.
    std::size_t m_reads = 0;
    unsigned m_failedWrites = 0;
    bool m_isKept = false;
};

/** Text of the turn before is written again with the next turn up to this length, so that most conversations need one read. */
inline constexpr std::size_t RepeatedText = std::size_t{8} * 1024;
/** Input and output of one turn; a transaction of the store takes 1 MB, and base64 makes three bytes four. */
inline constexpr std::size_t MaxTurnText = std::size_t{640} * 1024;
/** Input of one turn; leaves room for its output. */
inline constexpr std::size_t MaxTurnInput = std::size_t{512} * 1024;
/** A whole conversation; several times 120,000 tokens. */
inline constexpr std::size_t MaxConversation = std::size_t{2} * 1024 * 1024;
/** Rows stay for this much longer than their retention; conversations that go on write their old rows again in this time. */
inline constexpr Duration KeptReserve = std::chrono::seconds(120);
/** A base that would be removed sooner than this after the retention of a new turn is written again. */
inline constexpr Duration KeptSlack = std::chrono::seconds(30);
/** Before a turn is written again that neither place took; doubles up to MaxTurnWritePause, since the store may be over its rate. */
inline constexpr Duration TurnWritePause = std::chrono::milliseconds(80);
inline constexpr Duration MaxTurnWritePause = std::chrono::milliseconds(400); ///< Clients leave a stream after two seconds of silence.

} // namespace Vanillahall::Forward
