/** Tracks what programs have spent of their budgets and what is reserved for calls in progress. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/error_type.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Vanillahall {

/** Budgets of the root programs of one shard. Sub-agents spend from the budget of their root program. */
class BudgetLedger
{
public:
    // Commands.

    /** Opens the budget of a root program; has no effect if it is already open. */
    void open(const ProgramId &root, const Budget &limit, WallTime began);
    /** Removes the budget of a root program. */
    void close(const ProgramId &root);
    /**
     * Reserves the most that a call may use.
     * @param tokens Prompt and generated tokens.
     * @param[out] reason Set to the error if the call doesn't fit into the budget.
     * @return Calendar time left for the call, or nothing if it doesn't fit.
     * @pre The call has no reservation.
     */
    std::optional<std::chrono::milliseconds>
    reserve(const ProgramId &root, const CallKey &key, std::uint64_t tokens, WallTime now, Error &reason);
    /** Replaces the reservation of a call, if there is one, by the tokens that the call has used. */
    void settle(const ProgramId &root, const CallKey &key, std::uint64_t tokens);
    /** Releases the reservation of a call that has not run. */
    void release(const ProgramId &root, const CallKey &key);

    // Queries.

    /** @return Tokens and calls spent or reserved, and the calendar time since the root program was created. */
    [[nodiscard]] Budget spent(const ProgramId &root, WallTime now) const;
    /** @return Tokens reserved for a call; 0 if there is no reservation. */
    [[nodiscard]] std::uint64_t reserved(const ProgramId &root, const CallKey &key) const;

private:
    /** Budget of one root program. */
    struct Account
    {
        Budget limit;                                  ///< What may be spent.
        WallTime began;                                ///< When the root program was created.
        std::uint64_t tokens{};                        ///< Tokens of settled calls.
        std::uint32_t calls{};                         ///< Number of settled calls.
        std::uint64_t reservedTokens{};                ///< Sum of `reservations`.
        std::map<CallKey, std::uint64_t> reservations; ///< Tokens reserved for each call in progress.
    };

    Account *find(const ProgramId &root);

    std::map<ProgramId, Account> m_accounts;
};

} // namespace Vanillahall
