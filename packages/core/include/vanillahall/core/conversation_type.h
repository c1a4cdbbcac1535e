/** Types of stored conversations: a later turn sends only its new input, and the system adds the earlier turns. */
#pragma once

#include "vanillahall/core/token_ledger_base.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/**
 * One turn as stored in the platform's store. Its text never changes; only `retainedUntilMs` may grow.
 * The conversation up to and including this turn consists of the texts of its bases, in order, followed by its own text.
 */
struct StoredTurn
{
    std::string id;                  ///< Request id of the turn.
    std::vector<std::string> bases;  ///< Earlier turns whose texts come first, oldest first.
    std::string text;                ///< Inputs and outputs since the last base, including those of this turn.
    std::uint64_t retainedUntilMs{}; ///< May be removed after this time of the store's clock, in milliseconds.
    std::string program;             ///< Program of the turn; empty if none.
    TokenRow tokens; ///< The program's token row at the end of the turn, if known; saves the next entry a first write that is refused.
};

/** Stored turns are immutable, so requests in progress and the cache share them. */
using TurnRecord = std::shared_ptr<const StoredTurn>;

/** Number of locations that may hold a turn's row; if the part of the store that holds one is down, the other one is used. */
inline constexpr std::uint32_t TurnCopies = 2;

/** One of the locations that may hold a turn's row. */
struct TurnLocation
{
    std::string id;     ///< Id of the turn.
    std::uint32_t copy; ///< Number of the copy, from 0 to TurnCopies - 1.

    bool operator==(const TurnLocation &) const = default;
};

/** Write of one copy of a turn's row. */
struct TurnWrite
{
    TurnRecord turn;    ///< Row to write.
    std::uint32_t copy; ///< Number of the copy to write.
};

/** Read these rows, then report each with onTurnRead(), onTurnMissing() or onReadFailed(). */
struct ReadTurns
{
    std::vector<TurnLocation> locations; ///< At least one.
};
/** The earlier turns are loaded; the turn may run. */
struct ConversationReady
{
};
/** The previous turn is known not to exist. */
struct TurnNotFound
{
};
/** An earlier turn can't be read, but may exist. */
struct ConversationUnavailable
{
    std::string turn; ///< Turn that can't be read.
};
/** The turn or its conversation is longer than the limits allow. */
struct ConversationTooLong
{
};
/** Write these rows, then report each with onWritten() or onWriteFailed(). */
struct WriteTurns
{
    std::vector<TurnWrite> writes; ///< At least one.
    Duration delay{};              ///< Delay before the writes.
};
/** The turn is durable; its response may end. */
struct TurnStored
{
};
/** Nothing to do until other reads or writes have ended. */
struct WaitForCalls
{
};
/** Next step of a turn of a stored conversation. */
using TurnStep = std::
    variant<ReadTurns, ConversationReady, TurnNotFound, ConversationUnavailable, ConversationTooLong, WriteTurns, TurnStored, WaitForCalls>;

} // namespace Vanillahall::Forward
