/** Turns of conversations that the system keeps, so that a later turn needs to bring only its new input. */
#pragma once

#include "vanillahall/core/token_ledger_base.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/**
 * One turn as it lies in the platform's store. Its text never changes; only `keptUntilMs` may grow.
 * The conversation up to and including the turn is the texts of its bases, in their order, and then its own text.
 */
struct StoredTurn
{
    std::string id;                 ///< Request id of the turn.
    std::vector<std::string> bases; ///< Earlier turns whose texts come first, the oldest first.
    std::string text;               ///< Inputs and outputs after the last base, this turn's included.
    std::uint64_t keptUntilMs{};    ///< By the store's clock, in milliseconds; may be removed afterwards.
    std::string program;            ///< Program of the turn; empty if none.
    TokenRow tokens;                ///< The program's token row when the turn ended, as far as known; saves the next entry a refused write.
};

/** Kept turns don't change, so requests under way and the cache share them. */
using TurnRecord = std::shared_ptr<const StoredTurn>;

/** Places in which the row of a turn may lie; a part of the store that is down makes a turn's row lie in the other one. */
inline constexpr std::uint32_t TurnCopies = 2;

/** One of the places in which the row of a turn may lie. */
struct TurnPlace
{
    std::string id;     ///< Turn.
    std::uint32_t copy; ///< From 0 to TurnCopies - 1.

    bool operator==(const TurnPlace &) const = default;
};

/** A write of a turn. */
struct TurnWrite
{
    TurnRecord turn;    ///< What to write.
    std::uint32_t copy; ///< Place to write it to.
};

/** Read these rows; each ends with turnRead(), turnMissing() or readFailed(). */
struct ReadTurns
{
    std::vector<TurnPlace> places; ///< At least one.
};
/** The conversation before the turn is known; the turn may run. */
struct ConversationReady
{
};
/** It is certain that the turn before doesn't exist. */
struct TurnNotFound
{
};
/** The turn before can't be read, and may exist. */
struct ConversationUnavailable
{
    std::string turn; ///< Turn that can't be read.
};
/** The conversation is longer than what is kept. */
struct ConversationTooLong
{
};
/** Write these rows; each ends with written() or writeFailed(). */
struct WriteTurns
{
    std::vector<TurnWrite> writes; ///< At least one.
    Duration pause{};              ///< Wait before the writes.
};
/** The turn is durable; its answer may end. */
struct TurnStored
{
};
/** Other calls are still open. */
struct WaitForCalls
{
};
/** What to do next for a turn of a kept conversation. */
using TurnStep = std::
    variant<ReadTurns, ConversationReady, TurnNotFound, ConversationUnavailable, ConversationTooLong, WriteTurns, TurnStored, WaitForCalls>;

} // namespace Vanillahall::Forward
