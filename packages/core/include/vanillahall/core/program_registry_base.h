/** The programs of one shard, as a fold over the shard's journal. */
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

    /** Takes in a record. Records of unknown programs, and records applied before, change nothing. */
    void apply(const JournalRecord &record);
    /** Drops a root and all its sub-agents, if all have ended. */
    void erase(const ProgramId &root);

    // Queries.

    /** @return The program; null if the shard doesn't know it. */
    [[nodiscard]] const Program *find(const ProgramId &id) const;
    /** @return The program that a customer created with an idempotency key; null if there is none. */
    [[nodiscard]] const Program *findByRequest(const CustomerName &customer, const ContentHash &request) const;
    /** @return The program and all its sub-agents, parents first. */
    [[nodiscard]] std::vector<ProgramId> family(const ProgramId &id) const;
    /** @return Calls with an intent and no outcome. */
    [[nodiscard]] std::vector<CallKey> openIntents() const;
    /** @return Records that rebuild this state. */
    [[nodiscard]] std::vector<JournalRecord> records() const;
    /** @return Programs that haven't ended. */
    [[nodiscard]] std::size_t liveCount() const;
    /** @return All programs. */
    [[nodiscard]] const std::map<ProgramId, Program> &programs() const;

private:
    /** What tells a repeated creation. */
    struct RequestKey
    {
        CustomerName customer; ///< Who asked.
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

/** @return The record of an ended turn. @param outcome Its outcome, as it was before an operator settled it. */
TurnFinished finishedTurn(const CallKey &key, const TurnRecord &turn, CallOutcome outcome);

} // namespace Vanillahall
