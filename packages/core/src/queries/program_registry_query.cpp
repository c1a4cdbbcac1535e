#include "vanillahall/core/program_registry_base.h"

#include <algorithm>

namespace Vanillahall {

namespace {

CallIntended intentOf(const Program &program, Turn number, const TurnRecord &turn)
{
    CallIntended record;
    record.key = CallKey{program.id, number};
    record.attempt = turn.attempt;
    record.content = turn.content;
    record.server = turn.server;
    record.incarnation = turn.incarnation;
    record.input = std::get<ServiceCall>(turn.input);
    record.began = turn.began;
    return record;
}

void addTurn(const Program &program, Turn number, const TurnRecord &turn, std::vector<JournalRecord> &records)
{
    if (!turn.outcome) {
        records.emplace_back(intentOf(program, number, turn));
        return;
    }
    CallOutcome outcome = *turn.outcome;
    if (turn.settledBy.empty()) {
        records.emplace_back(finishedTurn(CallKey{program.id, number}, turn, std::move(outcome)));
        return;
    }
    Error &error = std::get<Error>(outcome);
    const bool ran = error.run == RunState::Ran;
    error.run = RunState::Unknown;
    records.emplace_back(finishedTurn(CallKey{program.id, number}, turn, std::move(outcome)));
    records.emplace_back(OutcomeSettled{CallKey{program.id, number}, ran, turn.settledBy});
}

void addProgram(const Program &program, std::vector<JournalRecord> &records)
{
    ProgramCreated created;
    created.program = program.id;
    created.parent = program.parent;
    created.customer = program.customer;
    created.className = program.className;
    created.budget = program.budget;
    created.began = program.began;
    created.request = program.request;
    records.emplace_back(std::move(created));
    for (const auto &[number, turn] : program.turns) {
        addTurn(program, number, turn, records);
    }
    if (program.ended) {
        records.emplace_back(ProgramEnded{program.id, *program.ended});
    }
}

} // namespace

TurnFinished finishedTurn(const CallKey &key, const TurnRecord &turn, CallOutcome outcome)
{
    TurnFinished record;
    record.key = key;
    record.content = turn.content;
    record.input = turn.input;
    record.outcome = std::move(outcome);
    record.server = turn.server;
    record.attempt = turn.attempt;
    record.began = turn.began;
    record.ended = turn.ended;
    record.spentTokens = turn.spentTokens;
    return record;
}

const Program *ProgramRegistry::find(const ProgramId &id) const
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

const Program *ProgramRegistry::findByRequest(const CustomerName &customer, const ContentHash &request) const
{
    const auto it = m_requests.find(RequestKey{customer, request});
    return it == m_requests.end() ? nullptr : find(it->second);
}

std::vector<ProgramId> ProgramRegistry::subtree(const ProgramId &id) const
{
    std::vector<ProgramId> ids;
    if (!m_programs.contains(id)) {
        return ids;
    }
    ids.push_back(id);
    for (std::size_t n = 0; n < ids.size(); n++) {
        const std::vector<ProgramId> &children = m_programs.at(ids[n]).children;
        ids.insert(ids.end(), children.begin(), children.end());
    }
    return ids;
}

std::vector<CallKey> ProgramRegistry::openIntents() const
{
    std::vector<CallKey> keys;
    for (const auto &[id, program] : m_programs) {
        for (const auto &[number, turn] : program.turns) {
            if (!turn.outcome) {
                keys.push_back(CallKey{id, number});
            }
        }
    }
    return keys;
}

std::vector<JournalRecord> ProgramRegistry::records() const
{
    std::vector<JournalRecord> records;
    for (const auto &[id, program] : m_programs) {
        if (program.root != id) {
            continue;
        }
        for (const ProgramId &member : subtree(id)) {
            addProgram(m_programs.at(member), records);
        }
    }
    return records;
}

std::size_t ProgramRegistry::liveCount() const
{
    return static_cast<std::size_t>(std::count_if(m_programs.begin(), m_programs.end(), [](const auto &it) {
        return !it.second.ended.has_value();
    }));
}

const std::map<ProgramId, Program> &ProgramRegistry::programs() const
{
    return m_programs;
}

} // namespace Vanillahall
