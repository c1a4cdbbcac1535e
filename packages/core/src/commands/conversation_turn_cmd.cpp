#include "vanillahall/core/conversation_turn_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

constexpr unsigned MaxDoublings = 4; ///< Maximum number of times that TurnWriteRetryDelay is doubled.

std::uint64_t toMs(Duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

ConversationTurn::ConversationTurn(TurnStart start, TurnCache &cache)
    : m_start(std::move(start))
    , m_cache(cache)
{
}

TurnStep ConversationTurn::begin()
{
    if (m_start.input.size() > MaxTurnInputBytes) {
        return ConversationTooLong{};
    }
    if (m_start.previous.empty()) {
        return ConversationReady{};
    }
    if (m_start.previous == m_start.id) {
        return TurnNotFound{};
    }
    if (const auto turn = m_cache.get(m_start.previous)) {
        return onTurnRead(turn);
    }
    ReadTurns reads;
    requireTurn(m_start.previous, reads);
    return continueReads(std::move(reads));
}

void ConversationTurn::requireTurn(const std::string &id, ReadTurns &reads)
{
    if (auto turn = m_cache.get(id)) {
        m_loadedTurns[id] = std::move(turn);
        return;
    }
    if (m_reading.insert(id).second) {
        reads.locations.push_back({id, 0});
    }
}

TurnStep ConversationTurn::continueReads(ReadTurns reads)
{
    if (!reads.locations.empty()) {
        m_reads += reads.locations.size();
        return reads;
    }
    if (!m_reading.empty()) {
        return WaitForCalls{};
    }
    if (bodySize() > MaxConversationBytes) {
        return ConversationTooLong{};
    }
    return ConversationReady{};
}

TurnStep ConversationTurn::onTurnRead(const TurnRecord &turn)
{
    m_reading.erase(turn->id);
    m_loadedTurns[turn->id] = turn;
    m_cache.put(turn);
    ReadTurns reads;
    if (turn->id == m_start.previous) {
        for (const auto &it : turn->bases) {
            requireTurn(it, reads);
        }
    }
    return continueReads(std::move(reads));
}

TurnStep ConversationTurn::onTurnMissing(const TurnLocation &location)
{
    if (location.copy + 1 < TurnCopies) {
        return readOtherCopy(location);
    }
    const bool isCertain = m_uncertain.count(location.id) == 0;
    if (isCertain && location.id == m_start.previous) {
        return TurnNotFound{};
    }
    return ConversationUnavailable{location.id};
}

TurnStep ConversationTurn::onReadFailed(const TurnLocation &location)
{
    m_uncertain.insert(location.id);
    if (location.copy + 1 < TurnCopies) {
        return readOtherCopy(location);
    }
    return ConversationUnavailable{location.id};
}

TurnStep ConversationTurn::readOtherCopy(const TurnLocation &location)
{
    m_reads++;
    return ReadTurns{{{location.id, location.copy + 1}}};
}

bool ConversationTurn::addOutput(std::string_view data)
{
    m_output.append(data);
    return m_start.input.size() + m_output.size() <= MaxTurnTextBytes;
}

TurnRecord ConversationTurn::makeRecord(std::uint64_t nowMs, const TokenRow &tokens) const
{
    auto turn = std::make_shared<StoredTurn>();
    turn->id = m_start.id;
    turn->retainedUntilMs = nowMs + toMs(m_start.retention + RetentionReserve);
    if (!m_start.previous.empty()) {
        const auto &before = *m_loadedTurns.at(m_start.previous);
        turn->bases = before.bases;
        if (before.text.size() <= MaxInlinedTextBytes) {
            turn->text = before.text;
        } else {
            turn->bases.push_back(before.id);
        }
    }
    turn->text += m_start.input + m_output;
    turn->program = m_start.program;
    turn->tokens = tokens;
    return turn;
}

TurnStep ConversationTurn::onAnswerEnded(std::uint64_t nowMs, const TokenRow &tokens)
{
    const auto turn = makeRecord(nowMs, tokens);
    WriteTurns writes;
    const auto neededUntil = nowMs + toMs(m_start.retention + MinRemainingRetention);
    for (const auto &it : turn->bases) {
        const auto &base = m_loadedTurns.at(it);
        if (base->retainedUntilMs < neededUntil) {
            auto renewed = std::make_shared<StoredTurn>(*base);
            renewed->retainedUntilMs = turn->retainedUntilMs;
            m_pendingWrites[it] = renewed;
            writes.writes.push_back({std::move(renewed), 0});
        }
    }
    m_pendingWrites[turn->id] = turn;
    m_triedCopies.insert(0);
    writes.writes.push_back({turn, 0});
    return writes;
}

TurnStep ConversationTurn::onWritten(const TurnLocation &location)
{
    const auto it = m_pendingWrites.find(location.id);
    if (it != m_pendingWrites.end()) {
        m_writtenRows.push_back(std::move(it->second));
        m_pendingWrites.erase(it);
    }
    if (!m_pendingWrites.empty() || m_isStored) {
        return WaitForCalls{};
    }
    for (const auto &turn : m_writtenRows) {
        m_cache.put(turn);
    }
    m_isStored = true;
    return TurnStored{};
}

TurnStep ConversationTurn::onWriteFailed(const TurnLocation &location)
{
    const auto it = m_pendingWrites.find(location.id);
    if (it == m_pendingWrites.end()) {
        return WaitForCalls{};
    }
    const std::uint32_t copy = (location.copy + 1) % TurnCopies;
    if (location.id == m_start.id) {
        m_triedCopies.insert(copy);
    }
    if (copy != 0) {
        return WriteTurns{{{it->second, copy}}, Duration::zero()};
    }
    const auto delay = std::min(MaxTurnWriteRetryDelay, TurnWriteRetryDelay * (1U << std::min(m_failedWrites++, MaxDoublings)));
    return WriteTurns{{{it->second, copy}}, delay};
}

std::optional<TokenRow> ConversationTurn::knownTokens() const
{
    const auto it = m_loadedTurns.find(m_start.previous);
    if (it == m_loadedTurns.end() || m_start.program.empty() || it->second->program != m_start.program) {
        return std::nullopt;
    }
    return it->second->tokens;
}

const std::string &ConversationTurn::input() const
{
    return m_start.input;
}

std::string ConversationTurn::body() const
{
    std::string text;
    text.reserve(bodySize());
    if (!m_start.previous.empty()) {
        const auto &before = *m_loadedTurns.at(m_start.previous);
        for (const auto &it : before.bases) {
            text += m_loadedTurns.at(it)->text;
        }
        text += before.text;
    }
    return text + m_start.input;
}

std::size_t ConversationTurn::bodySize() const
{
    std::size_t size = m_start.input.size();
    for (const auto &[id, turn] : m_loadedTurns) {
        size += turn->text.size();
    }
    return size;
}

std::size_t ConversationTurn::reads() const
{
    return m_reads;
}

bool ConversationTurn::isStored() const
{
    return m_isStored;
}

std::vector<TurnLocation> ConversationTurn::unfinishedLocations() const
{
    std::vector<TurnLocation> locations;
    for (const auto it : m_triedCopies) {
        locations.push_back({m_start.id, it});
    }
    return locations;
}

} // namespace Vanillahall::Forward
