#include "entry_request_func.h"

#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_durable_func.h"
#include "entry_shard_func.h"
#include "vanillahall/core/entry_query.h"

namespace Vanillahall {

namespace {

constexpr Duration CreateTimeout = std::chrono::seconds(5); ///< Time limit for a new program, its end or a settlement to become durable.

/** @return The answer for a write that isn't confirmed within CreateTimeout. */
Error unconfirmedWrite(const EntryState &entry, Step step)
{
    Error error = refusal(entry, ErrorCode::StoreUnavailable, step, "the store has not confirmed the write", RetryDelay);
    error.run = RunState::Unknown;
    return error;
}

const Program *findByRequest(const EntryState &entry, const CustomerName &customer, const ContentHash &request)
{
    for (const auto &[id, shard] : entry.shards) {
        const Program *program = shard.loaded ? shard.programs.findByRequest(customer, request) : nullptr;
        if (program != nullptr) {
            return program;
        }
    }
    return nullptr;
}

/** Answers once the program is durable, which may be at once. */
void answerExisting(EntryState &entry, const Requester &requester, const Program &program)
{
    for (DurableWait &it : entry.shards.at(program.id.shard).waits) {
        auto *wait = std::get_if<AnswerWait>(&it.action);
        const auto *accepted = wait == nullptr ? nullptr : std::get_if<ProgramAccepted>(&wait->answer);
        if (accepted != nullptr && accepted->program == program.id) {
            wait->requesters.push_back(requester);
            return;
        }
    }
    answerRequester(entry, requester, ProgramAccepted{program.id});
}

ProgramId generateProgramId(const HeldShard &shard, std::uint64_t random)
{
    ProgramId id{shard.log.shard(), random};
    while (shard.programs.find(id) != nullptr) {
        id.serial++;
    }
    return id;
}

void appendProgram(EntryState &entry, HeldShard &shard, const ServedRequest &request, ProgramCreated record)
{
    record.customer = request.customer;
    record.began = entry.now.wall;
    record.program = generateProgramId(shard, request.random);
    if (record.parent == ProgramId()) {
        record.parent = record.program;
    }
    const ProgramId id = record.program;
    const RecordNumber number = appendRecord(entry, shard, record);
    if (record.parent == id) {
        shard.ledger.open(id, record.budget, record.began);
    }
    AnswerWait wait{{request.requester}, ProgramAccepted{id}, unconfirmedWrite(entry, Step::Admit), entry.now.steady + CreateTimeout};
    runWhenDurable(shard, number, std::move(wait));
    logLine(entry, LogLevel::Info, EventNumber::ProgramBegun, CallKey{id, Turn()}, {}, record.className.text);
}

/** Handles each type of request. */
class RequestVisitor
{
public:
    RequestVisitor(EntryState &entry, const ServedRequest &request)
        : m_entry(entry)
        , m_request(request)
    {
    }

    void operator()(const CreateProgram &body)
    {
        if (body.parent) {
            createSubAgent(body);
        } else {
            createRoot(body);
        }
    }

    void operator()(const SubmitCall &body)
    {
        submitCall(m_entry, m_request, body);
    }

    void operator()(const EndCommand &body)
    {
        Error reason;
        const Program *program = ownedProgram(m_entry, body.program, m_request.customer, reason);
        if (program == nullptr) {
            answer(reason);
            return;
        }
        HeldShard &shard = m_entry.shards.at(body.program.shard);
        const RecordNumber number = endProgram(m_entry, shard, body.program);
        if (number <= shard.log.durable()) {
            answer(ProgramEndAccepted{body.program});
            return;
        }
        AnswerWait wait{{m_request.requester},
                        ProgramEndAccepted{body.program},
                        unconfirmedWrite(m_entry, Step::End),
                        m_entry.now.steady + CreateTimeout};
        runWhenDurable(shard, number, std::move(wait));
    }

    void operator()(const TurnQuery &body)
    {
        Error reason;
        if (ownedProgram(m_entry, body.key.program, m_request.customer, reason) == nullptr) {
            answer(reason);
            return;
        }
        const std::optional<TurnView> view = turnView(m_entry, body.key);
        if (view) {
            answer(*view);
        } else {
            answer(refusal(m_entry, ErrorCode::NotFound, Step::Admit, "no such turn"));
        }
    }

    void operator()(const ProgramQuery &body)
    {
        Error reason;
        const Program *program = ownedProgram(m_entry, body.program, m_request.customer, reason);
        if (program == nullptr) {
            answer(reason);
            return;
        }
        answer(programView(m_entry, *program));
    }

    void operator()(const HistoryQuery &body)
    {
        Error reason;
        const Program *program = ownedProgram(m_entry, body.program, m_request.customer, reason);
        if (program == nullptr) {
            answer(reason);
            return;
        }
        answer(historyView(m_entry, *program));
    }

    void operator()(const SettleOutcome &body)
    {
        HeldShard *shard = servingShard(m_entry, body.key.program.shard);
        const std::optional<TurnView> view = turnView(m_entry, body.key);
        if (shard == nullptr || !view || !hasUnknownOutcome(*view)) {
            answer(refusal(m_entry, ErrorCode::NotFound, Step::Admit, "no such call with an unknown outcome"));
            return;
        }
        const OutcomeSettled record{body.key, body.ran, body.operatorName};
        const RecordNumber number = appendRecord(m_entry, *shard, record);
        AnswerWait wait{
            {m_request.requester}, OutcomeAccepted{body.key}, unconfirmedWrite(m_entry, Step::Commit), m_entry.now.steady + CreateTimeout};
        runWhenDurable(*shard, number, std::move(wait));
    }

private:
    void answer(CallerAnswer body)
    {
        answerRequester(m_entry, m_request.requester, std::move(body));
    }

    void createRoot(const CreateProgram &body)
    {
        if (body.idempotencyKey != ContentHash()) {
            const Program *existing = findByRequest(m_entry, m_request.customer, body.idempotencyKey);
            if (existing != nullptr) {
                answerExisting(m_entry, m_request.requester, *existing);
                return;
            }
        }
        HeldShard *shard = servingShard(m_entry, m_entry.ownShard);
        if (const std::optional<Error> error = newWorkRefusal(m_entry, shard)) {
            answer(*error);
            return;
        }
        if (!classTarget(m_entry, body.className)) {
            answer(refusal(m_entry, ErrorCode::NotFound, Step::Admit, "no such class"));
            return;
        }
        ProgramCreated record;
        record.className = body.className;
        record.budget = body.budget;
        record.request = body.idempotencyKey;
        appendProgram(m_entry, *shard, m_request, std::move(record));
    }

    void createSubAgent(const CreateProgram &body)
    {
        Error reason;
        const Program *parent = ownedProgram(m_entry, *body.parent, m_request.customer, reason);
        if (parent == nullptr) {
            answer(reason);
            return;
        }
        HeldShard &shard = m_entry.shards.at(body.parent->shard);
        const Program *existing
            = body.idempotencyKey == ContentHash() ? nullptr : shard.programs.findByRequest(m_request.customer, body.idempotencyKey);
        if (existing != nullptr) {
            answerExisting(m_entry, m_request.requester, *existing);
            return;
        }
        if (const std::optional<Error> error = newWorkRefusal(m_entry, &shard)) {
            answer(*error);
            return;
        }
        if (parent->ended) {
            answer(refusal(m_entry, ErrorCode::ProgramEnded, Step::Admit, "the parent has ended"));
            return;
        }
        ProgramCreated record;
        record.parent = parent->id;
        record.className = parent->className;
        record.request = body.idempotencyKey;
        appendProgram(m_entry, shard, m_request, std::move(record));
    }

    EntryState &m_entry;
    const ServedRequest &m_request;
};

} // namespace

void serveRequest(EntryState &entry, const ServedRequest &request, const CallerRequest &body)
{
    std::visit(RequestVisitor(entry, request), body);
}

const Program *ownedProgram(EntryState &entry, const ProgramId &id, const CustomerName &customer, Error &reason)
{
    const HeldShard *shard = servingShard(entry, id.shard);
    const Program *program = shard == nullptr ? nullptr : shard->programs.find(id);
    if (program == nullptr || program->customer != customer) {
        reason = refusal(entry, ErrorCode::NotFound, Step::Admit, "no such program");
        return nullptr;
    }
    return program;
}

std::optional<Error> newWorkRefusal(EntryState &entry, const HeldShard *shard)
{
    if (!entry.config) {
        return refusal(entry, ErrorCode::StoreUnavailable, Step::Admit, "the configuration has not been read yet", RetryDelay);
    }
    if (entry.stop) {
        return refusal(entry, ErrorCode::Stopping, Step::Admit, "the entry is on a planned stop", StopRetryDelay);
    }
    if (shard == nullptr || !shard->log.canOrder(entry.now.steady)) {
        return refusal(entry, ErrorCode::StoreUnavailable, Step::Admit, "the entry holds no lease now", RetryDelay);
    }
    if (shard->log.isStoreUnavailable()) {
        return refusal(entry, ErrorCode::StoreUnavailable, Step::Admit, "the store does not answer", RetryDelay);
    }
    return std::nullopt;
}

} // namespace Vanillahall
