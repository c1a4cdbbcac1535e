/**
 * The part of each program's token budget that its owner may grant while the platform's store is away.
 * Load pattern: dozens of programs begin each second while the store doesn't answer for seconds, and their turns arrive at many proxies.
 * A row per partition of the programs names the owner before the outage. Grants are bounded by a lease, so that after any loss no other
 * proxy grants from the same share.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** Number of partitions of the programs; a proxy that is lost affects only the programs of its own. */
inline constexpr std::uint32_t BudgetPartitions = 64;

/** Row of one partition in the store. */
struct BudgetOwnerRow
{
    std::uint32_t partition{};    ///< Partition, below BudgetPartitions.
    std::string owner;            ///< Name of the owner's VM; empty if the last owner gave it up.
    std::string incarnation;      ///< Incarnation of the owner's process.
    std::uint64_t term{};         ///< Grows with each change of the owner.
    std::uint64_t renewals{};     ///< Grows with each renewal.
    bool isClean = false;         ///< True if the last owner gave it up and had granted nothing for OutageShareQuarantine.
    std::uint32_t sharePercent{}; ///< Share of the budgets that the owner may grant, in percent.
    std::uint64_t version{};      ///< Version of the row in the store; 0 if there is none.
};

/** Request for tokens while the store is away. */
struct OutageGrantRequest
{
    std::string program;       ///< Key of the program, with the prefix of its customer.
    std::string turn;          ///< Unique name of this attempt of a turn; a repeated request gets the same reply.
    std::uint64_t budget{};    ///< Token budget of the program.
    std::uint64_t maxTokens{}; ///< Maximum number of tokens that the turn generates.
};

/** The tokens are granted. */
struct OutageGranted
{
};
/** The second share doesn't hold the tokens, or is closed or may have been used before: the row alone decides. */
struct OutageShareSpent
{
};
/** This proxy isn't the owner, its lease has ended, or its table is full. */
struct OutageNotOwner
{
};
using OutageAnswer = std::variant<OutageGranted, OutageShareSpent, OutageNotOwner>; ///< Result of a request for tokens.

/** An owner's grants end this long after the start of its last successful renewal, by CLOCK_BOOTTIME. */
inline constexpr Duration BudgetLease = std::chrono::seconds(60);
/** A row whose renewal counter hasn't changed for this long may be claimed by another proxy; the margin covers clocks of unequal rates. */
inline constexpr Duration BudgetTakeoverTime = std::chrono::seconds(65);
/** After an owner was lost, its successor treats the second shares as spent for this long; programs that may have used them have ended by
 * then. */
inline constexpr Duration OutageShareQuarantine = std::chrono::seconds(150);
/** Programs with grants that an owner remembers at most. */
inline constexpr std::size_t MaxOutagePrograms = 20000;

/** @return Partition of a program. @param program Key of the program. */
[[nodiscard]] std::uint32_t budgetPartition(const std::string &program);

} // namespace Vanillahall::Forward
