#include "vanillahall/core/program_registry_base.h"

#include <utility>

namespace Vanillahall {

namespace {

/** @return An unknown outcome after its settlement by an operator. */
Error settledError(Error error, bool ran)
{
    error.run = ran ? RunState::Ran : RunState::NotRun;
    return error;
}

/** @return True if the outcome states that the call did not run, so that the turn is removed. */
bool removesTurn(const CallOutcome &outcome)
{
    const Error *error = findError(outcome);
    return error != nullptr && error->run == RunState::NotRun;
}

} // namespace

void ProgramRegistry::apply(const JournalRecord &record)
{
    std::visit(
        [this](const auto &it) {
            applyRecord(it);
        },
        record);
}

Program *ProgramRegistry::findProgram(const ProgramId &id)
{
    const auto it = m_programs.find(id);
    return it == m_programs.end() ? nullptr : &it->second;
}

void ProgramRegistry::applyRecord(const ProgramCreated &record)
{
    Program *parent = findProgram(record.parent);
    const bool isRoot = record.parent == record.program;
    if (m_programs.contains(record.program) || (!isRoot && parent == nullptr)) {
        return;
    }
    Program program;
    program.id = record.program;
    program.parent = record.parent;
    program.root = record.program;
    program.customer = record.customer;
    program.className = record.className;
    program.budget = record.budget;
    program.began = record.began;
    program.request = record.request;
    if (parent != nullptr) {
        program.root = parent->root;
        parent->children.push_back(record.program);
    }
    if (record.request != ContentHash()) {
        m_requests.emplace(RequestKey{record.customer, record.request}, record.program);
    }
    m_programs.emplace(record.program, std::move(program));
}

void ProgramRegistry::applyRecord(const CallIntended &record)
{
    Program *program = findProgram(record.key.program);
    if (program == nullptr) {
        return;
    }
    TurnRecord &turn = program->turns[record.key.turn];
    if (turn.outcome || turn.attempt > record.attempt) {
        return;
    }
    turn.content = record.content;
    turn.input = record.input;
    turn.server = record.server;
    turn.incarnation = record.incarnation;
    turn.attempt = record.attempt;
    turn.began = record.began;
}

void ProgramRegistry::applyRecord(const TurnFinished &record)
{
    Program *program = findProgram(record.key.program);
    if (program == nullptr) {
        return;
    }
    if (removesTurn(record.outcome)) {
        program->turns.erase(record.key.turn);
        return;
    }
    TurnRecord &turn = program->turns[record.key.turn];
    if (turn.outcome) {
        return;
    }
    turn.content = record.content;
    turn.input = record.input;
    turn.outcome = record.outcome;
    turn.server = record.server;
    turn.incarnation = Incarnation();
    turn.attempt = record.attempt;
    turn.began = record.began;
    turn.ended = record.ended;
    turn.spentTokens = record.spentTokens;
}

void ProgramRegistry::applyRecord(const OutcomeSettled &record)
{
    Program *program = findProgram(record.key.program);
    if (program == nullptr) {
        return;
    }
    const auto it = program->turns.find(record.key.turn);
    if (it == program->turns.end() || !it->second.outcome) {
        return;
    }
    Error *error = std::get_if<Error>(&*it->second.outcome);
    if (error == nullptr || error->run != RunState::Unknown) {
        return;
    }
    *error = settledError(*error, record.ran);
    it->second.settledBy = record.operatorName;
}

void ProgramRegistry::applyRecord(const ProgramEnded &record)
{
    Program *program = findProgram(record.program);
    if (program != nullptr && !program->ended) {
        program->ended = record.ended;
    }
}

void ProgramRegistry::erase(const ProgramId &root)
{
    const std::vector<ProgramId> ids = subtree(root);
    for (const ProgramId &id : ids) {
        if (!m_programs.at(id).ended) {
            return;
        }
    }
    for (const ProgramId &id : ids) {
        const Program &program = m_programs.at(id);
        m_requests.erase(RequestKey{program.customer, program.request});
        m_programs.erase(id);
    }
}

} // namespace Vanillahall
