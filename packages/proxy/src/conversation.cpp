#include "conversation.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include "vanillahall/core/event_data_func.h"
#include "vanillahall/platform/wire_turn_func.h"

#include <sstream>

namespace Vanillahall::Forward {

namespace {

std::int64_t msSince(TimePoint startedAt)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - startedAt).count();
}

/** Returns the name of a lookup result for logs and metrics. */
struct ResultName
{
    std::string_view operator()(const ConversationReady &) const
    {
        return "found";
    }
    std::string_view operator()(const TurnNotFound &) const
    {
        return "no_such_turn";
    }
    std::string_view operator()(const ConversationUnavailable &) const
    {
        return "away";
    }
    std::string_view operator()(const ConversationTooLong &) const
    {
        return "too_long";
    }
    template<typename Other>
    std::string_view operator()(const Other &) const
    {
        return "open";
    }
};

} // namespace

Conversation::Conversation(ProxyState &proxy, TurnStart start)
    : m_proxy(proxy)
    , m_id(start.id)
    , m_previous(start.previous)
    , m_program(start.program)
    , m_turn(std::move(start), proxy.turns)
    , m_timer(proxy.loop)
{
}

const ConversationTurn &Conversation::turn() const
{
    return m_turn;
}

void Conversation::find(Duration limit, FoundHandler handler)
{
    m_foundHandler = std::move(handler);
    m_readLimit = limit;
    m_startedAt = now();
    processStep(m_turn.begin());
}

void Conversation::processStep(const TurnStep &step)
{
    if (const auto *reads = std::get_if<ReadTurns>(&step)) {
        for (const auto &it : reads->locations) {
            read(it);
        }
    } else if (const auto *writes = std::get_if<WriteTurns>(&step)) {
        // Several rows may fail during one pause; all are retried when it ends.
        m_scheduledWrites.insert(m_scheduledWrites.end(), writes->writes.begin(), writes->writes.end());
        runAfter(m_timer, writes->delay, *this, [](Conversation &self) {
            for (const auto &it : std::exchange(self.m_scheduledWrites, {})) {
                self.write(it);
            }
        });
    } else if (std::holds_alternative<TurnStored>(step)) {
        logStored(true);
        if (const auto handler = std::exchange(m_storedHandler, nullptr)) {
            handler();
        }
    } else if (!std::holds_alternative<WaitForCalls>(step)) {
        // The first result is final; reads still in progress don't change it.
        if (const auto handler = std::exchange(m_foundHandler, nullptr)) {
            logFound(step);
            handler(step);
        }
    }
}

void Conversation::read(const TurnLocation &location)
{
    m_proxy.store.call(Platform::readTurnCall(location),
                       m_readLimit,
                       false,
                       [self = shared_from_this(), location](const auto &reply, const Error &reason) {
                           self->onRowsRead(location, reply, reason);
                       });
}

void Conversation::onRowsRead(const TurnLocation &location, const std::optional<StoreReply> &reply, const Error &reason)
{
    if (m_isEnded) {
        return;
    }
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (!rows) {
        m_lastError = reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message;
        m_proxy.onStoreFailure(m_lastError);
        processStep(m_turn.onReadFailed(location));
        return;
    }
    m_proxy.onStoreReply(rows->nowMs);
    const auto record = Platform::decodeTurn(location, *rows, ec);
    if (!record) {
        m_lastError = ec.peer + ": " + ec.message;
        processStep(m_turn.onReadFailed(location));
    } else if (!*record) {
        processStep(m_turn.onTurnMissing(location));
    } else {
        processStep(m_turn.onTurnRead(*record));
    }
}

bool Conversation::addEvents(std::string_view events)
{
    return m_turn.addOutput(eventData(events));
}

void Conversation::storeTurn(StoredHandler handler)
{
    m_storedHandler = std::move(handler);
    m_startedAt = now();
    processStep(m_turn.onAnswerEnded(m_proxy.storeNowMs(), m_proxy.ledger.row(m_program)));
}

void Conversation::write(const TurnWrite &write)
{
    if (m_isEnded) {
        return;
    }
    m_writes++;
    m_openWrites++;
    if (write.turn->id == m_id) {
        m_rowCount = Platform::turnPieces(*write.turn, m_proxy.settings.rowBytes);
    }
    m_proxy.store.call(Platform::writeTurnCall(write, m_proxy.settings.rowBytes),
                       StoreTimeout,
                       false,
                       [self = shared_from_this(), write](const auto &reply, const Error &reason) {
                           self->onWriteEnded(write, reply, reason);
                       });
}

void Conversation::onWriteEnded(const TurnWrite &write, const std::optional<StoreReply> &reply, const Error &reason)
{
    m_openWrites--;
    Error ec = reason;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    const bool isWritten = answer && std::holds_alternative<Platform::TransactionDone>(*answer);
    if (!isWritten) {
        m_lastError = answer ? "refused" : ec.message;
        m_proxy.onStoreFailure(m_lastError);
    }
    if (m_isEnded) {
        removeUnfinishedTurn();
        return;
    }
    const TurnLocation location{write.turn->id, write.copy};
    processStep(isWritten ? m_turn.onWritten(location) : m_turn.onWriteFailed(location));
}

void Conversation::end(bool isComplete)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    m_isComplete = isComplete;
    m_foundHandler = nullptr;
    m_storedHandler = nullptr;
    stopTimer(m_timer);
    if (m_writes != 0 && !m_turn.isStored()) {
        logStored(false);
    }
    removeUnfinishedTurn();
}

void Conversation::removeUnfinishedTurn()
{
    // A write in progress could restore a removed row. So nothing is removed until all writes have ended; the last one calls this again.
    if (m_isComplete || m_writes == 0 || m_openWrites != 0) {
        return;
    }
    m_proxy.turns.remove(m_id);
    for (const auto &it : m_turn.unfinishedLocations()) {
        m_proxy.callStore(Platform::removeTurnCall(it, m_rowCount), "remove_unfinished_turn");
    }
}

void Conversation::logFound(const TurnStep &result)
{
    const auto name = std::visit(ResultName(), result);
    std::ostringstream line;
    line << "request=" << m_proxy.clientId(m_id) << " previous=" << m_proxy.clientId(m_previous) << " outcome=" << name
         << " reads=" << m_turn.reads() << " bytes=" << m_turn.bodySize() << " ms=" << msSince(m_startedAt);
    if (!m_lastError.empty()) {
        line << " why=\"" << m_lastError << '"';
    }
    m_proxy.metrics.count("vanillahall_conversations_total", {"outcome", std::string(name)});
    m_proxy.metrics.count("vanillahall_conversation_lookups_total", {"from", m_turn.reads() == 0 ? "memory" : "store"});
    m_proxy.log(name == "found" ? LogLevel::Info : LogLevel::Warning, EventNumber::ConversationRead, line.str());
}

void Conversation::logStored(bool isStored)
{
    std::ostringstream line;
    line << "request=" << m_proxy.clientId(m_id) << " previous=" << m_proxy.clientId(m_previous)
         << " outcome=" << (isStored ? "kept" : "not_kept") << " writes=" << m_writes << " rows=" << m_rowCount
         << " ms=" << msSince(m_startedAt);
    if (!m_lastError.empty()) {
        line << " why=\"" << m_lastError << '"';
    }
    m_proxy.metrics.count("vanillahall_turns_kept_total", {"outcome", isStored ? "kept" : "not_kept"});
    m_proxy.log(isStored ? LogLevel::Info : LogLevel::Warning, EventNumber::TurnKept, line.str());
}

} // namespace Vanillahall::Forward
