/** Programs of one shard, built by replaying the shard's journal. */
#pragma once

#include "vanillahall/core/program_type.h"
#include "vanillahall/core/store_type.h"

#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

namespace Vanillahall {

/**
 * Programs, turns and sub-agents of one shard.
 * State changes only by applying journal records, so that a replay of the journal gives the same state.
 */
class ProgramRegistry
{
public:
    // Commands.

    /** Applies a journal record. Records of unknown programs and records already applied are ignored. */
    void apply(const JournalRecord &record);
    /** Removes a root and all its sub-agents if all have ended. */
    void erase(const ProgramId &root);

    // Queries.

    /** @return The program; null if it isn't in this shard. */
    [[nodiscard]] const Program *find(const ProgramId &id) const;
    /** @return The program that a customer created with an idempotency key; null if there is none. */
    [[nodiscard]] const Program *findByRequest(const CustomerName &customer, const ContentHash &request) const;
    /** @return The program and all its sub-agents, parents first. */
    [[nodiscard]] std::vector<ProgramId> subtree(const ProgramId &id) const;
    /** @return Calls with an intent and no outcome. */
    [[nodiscard]] std::vector<CallKey> openIntents() const;
    /** @return Records that rebuild this state when applied in order. */
    [[nodiscard]] std::vector<JournalRecord> records() const;
    /** @return Number of programs that haven't ended. */
    [[nodiscard]] std::size_t liveCount() const;
    [[nodiscard]] const std::map<ProgramId, Program> &programs() const;

private:
    /** Identifies a repeated creation. */
    struct RequestKey
    {
        CustomerName customer; ///< Who created the program.
        ContentHash request;   ///< Fingerprint of the idempotency key.

        bool operator<(const RequestKey &other) const
        {
            return std::tie(customer, request) < std::tie(other.customer, other.request);
        }
    };

    void applyRecord(const ProgramCreated &record);
    void applyRecord(const CallIntended &record);
    void applyRecord(const TurnFinished &record);
    void applyRecord(const OutcomeSettled &record);
    void applyRecord(const ProgramEnded &record);
    Program *findProgram(const ProgramId &id);

    std::map<ProgramId, Program> m_programs;
    std::map<RequestKey, ProgramId> m_requests;
};

/** @return The journal record of an ended turn. @param outcome Its outcome before any settlement by an operator. */
TurnFinished finishedTurn(const CallKey &key, const TurnRecord &turn, CallOutcome outcome);

} // namespace Vanillahall
