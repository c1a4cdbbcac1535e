#include "entry_durable_func.h"

#include "entry_answer_func.h"
#include "entry_call_func.h"
#include "entry_gate_func.h"

namespace Vanillahall {

namespace {

/** Runs an action whose record has become durable. */
class DurableVisitor
{
public:
    DurableVisitor(EntryState &entry, HeldShard &shard)
        : m_entry(entry)
        , m_shard(shard)
    {
    }

    void operator()(const AnswerWait &wait)
    {
        for (const Requester &requester : wait.requesters) {
            answerRequester(m_entry, requester, wait.answer);
        }
    }

    void operator()(const IntentWait &wait)
    {
        onIntentDurable(m_entry, wait);
    }

    void operator()(const TurnWait &wait)
    {
        const Program *program = m_shard.programs.find(wait.key.program);
        const bool ended = program == nullptr || program->ended;
        for (const ServerName &server : wait.sentTo) {
            if (ended) {
                addPendingCommand(m_entry, server, PendingEnd{wait.key.program});
            } else {
                addPendingCommand(m_entry, server, PendingSettle{wait.key, server == wait.server ? wait.notBefore : GateTime()});
            }
        }
    }

    void operator()(const EndWait &wait)
    {
        const Program *program = m_shard.programs.find(wait.program);
        if (program == nullptr) {
            return;
        }
        const LiveCall *call = findCall(m_entry, CallKey{wait.program, Turn{lastFinished(*program).value + 1}});
        for (const ServerName &server : serversOf(*program)) {
            if (call == nullptr || !call->sentTo.contains(server)) {
                addPendingCommand(m_entry, server, PendingEnd{wait.program});
            }
        }
    }

private:
    EntryState &m_entry;
    HeldShard &m_shard;
};

} // namespace

void runWhenDurable(HeldShard &shard, RecordNumber record, DurableAction action)
{
    shard.waits.push_back(DurableWait{record, std::move(action)});
}

void runDurableActions(EntryState &entry, HeldShard &shard)
{
    const RecordNumber durable = shard.log.durable();
    std::erase_if(shard.undurable, [durable](const auto &it) {
        return it.second <= durable;
    });
    while (!shard.waits.empty() && shard.waits.front().record <= durable) {
        const DurableWait wait = std::move(shard.waits.front());
        shard.waits.pop_front();
        std::visit(DurableVisitor(entry, shard), wait.action);
    }
}

void expireAnswerWaits(EntryState &entry, HeldShard &shard)
{
    for (DurableWait &it : shard.waits) {
        auto *wait = std::get_if<AnswerWait>(&it.action);
        if (wait == nullptr || entry.now.steady < wait->deadline) {
            continue;
        }
        const std::vector<Requester> requesters = std::move(wait->requesters);
        wait->requesters.clear();
        for (const Requester &requester : requesters) {
            answerRequester(entry, requester, wait->timeoutAnswer);
        }
    }
}

} // namespace Vanillahall
