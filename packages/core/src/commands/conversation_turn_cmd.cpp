#include "vanillahall/core/conversation_turn_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

constexpr unsigned MaxDoublings = 4; ///< Maximum number of times that TurnWritePause is doubled.

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
    if (m_start.input.size() > MaxTurnInput) {
        return ConversationTooLong{};
    }
    if (m_start.previous.empty()) {
        return ConversationReady{};
    }
    if (m_start.previous == m_start.id) {
        return TurnNotFound{};
    }
    if (const auto turn = m_cache.use(m_start.previous)) {
        return turnRead(turn);
    }
    ReadTurns reads;
    need(m_start.previous, reads);
    return readOn(std::move(reads));
}

void ConversationTurn::need(const std::string &id, ReadTurns &reads)
{
    if (auto turn = m_cache.use(id)) {
        m_known[id] = std::move(turn);
        return;
    }
    if (m_reading.insert(id).second) {
        reads.places.push_back({id, 0});
    }
}

TurnStep ConversationTurn::readOn(ReadTurns reads)
{
    if (!reads.places.empty()) {
        m_reads += reads.places.size();
        return reads;
    }
    if (!m_reading.empty()) {
        return WaitForCalls{};
    }
    if (bodySize() > MaxConversation) {
        return ConversationTooLong{};
    }
    return ConversationReady{};
}

TurnStep ConversationTurn::turnRead(const TurnRecord &turn)
{
    m_reading.erase(turn->id);
    m_known[turn->id] = turn;
    m_cache.put(turn);
    ReadTurns reads;
    if (turn->id == m_start.previous) {
        for (const auto &it : turn->bases) {
            need(it, reads);
        }
    }
    return readOn(std::move(reads));
}

TurnStep ConversationTurn::turnMissing(const TurnPlace &place)
{
    if (place.copy + 1 < TurnCopies) {
        return readOtherCopy(place);
    }
    const bool isCertain = m_doubtful.count(place.id) == 0;
    if (isCertain && place.id == m_start.previous) {
        return TurnNotFound{};
    }
    return ConversationUnavailable{place.id};
}

TurnStep ConversationTurn::readFailed(const TurnPlace &place)
{
    m_doubtful.insert(place.id);
    if (place.copy + 1 < TurnCopies) {
        return readOtherCopy(place);
    }
    return ConversationUnavailable{place.id};
}

TurnStep ConversationTurn::readOtherCopy(const TurnPlace &place)
{
    m_reads++;
    return ReadTurns{{{place.id, place.copy + 1}}};
}

bool ConversationTurn::addOutput(std::string_view data)
{
    m_output.append(data);
    return m_start.input.size() + m_output.size() <= MaxTurnText;
}

TurnRecord ConversationTurn::makeRecord(std::uint64_t nowMs, const TokenRow &tokens) const
{
    auto turn = std::make_shared<StoredTurn>();
    turn->id = m_start.id;
    turn->keptUntilMs = nowMs + toMs(m_start.retention + KeptReserve);
    if (!m_start.previous.empty()) {
        const auto &before = *m_known.at(m_start.previous);
        turn->bases = before.bases;
        if (before.text.size() <= RepeatedText) {
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

TurnStep ConversationTurn::answerEnded(std::uint64_t nowMs, const TokenRow &tokens)
{
    const auto turn = makeRecord(nowMs, tokens);
    WriteTurns writes;
    const auto neededUntil = nowMs + toMs(m_start.retention + KeptSlack);
    for (const auto &it : turn->bases) {
        const auto &base = m_known.at(it);
        if (base->keptUntilMs < neededUntil) {
            auto renewed = std::make_shared<StoredTurn>(*base);
            renewed->keptUntilMs = turn->keptUntilMs;
            m_open[it] = renewed;
            writes.writes.push_back({std::move(renewed), 0});
        }
    }
    m_open[turn->id] = turn;
    m_triedCopies.insert(0);
    writes.writes.push_back({turn, 0});
    return writes;
}

TurnStep ConversationTurn::written(const TurnPlace &place)
{
    const auto it = m_open.find(place.id);
    if (it != m_open.end()) {
        m_written.push_back(std::move(it->second));
        m_open.erase(it);
    }
    if (!m_open.empty() || m_isKept) {
        return WaitForCalls{};
    }
    for (const auto &turn : m_written) {
        m_cache.put(turn);
    }
    m_isKept = true;
    return TurnStored{};
}

TurnStep ConversationTurn::writeFailed(const TurnPlace &place)
{
    const auto it = m_open.find(place.id);
    if (it == m_open.end()) {
        return WaitForCalls{};
    }
    const std::uint32_t copy = (place.copy + 1) % TurnCopies;
    if (place.id == m_start.id) {
        m_triedCopies.insert(copy);
    }
    if (copy != 0) {
        return WriteTurns{{{it->second, copy}}, Duration::zero()};
    }
    const auto pause = std::min(MaxTurnWritePause, TurnWritePause * (1U << std::min(m_failedWrites++, MaxDoublings)));
    return WriteTurns{{{it->second, copy}}, pause};
}

std::optional<TokenRow> ConversationTurn::knownTokens() const
{
    const auto it = m_known.find(m_start.previous);
    if (it == m_known.end() || m_start.program.empty() || it->second->program != m_start.program) {
        return std::nullopt;
    }
    return it->second->tokens;
}

std::string ConversationTurn::body() const
{
    std::string text;
    text.reserve(bodySize());
    if (!m_start.previous.empty()) {
        const auto &before = *m_known.at(m_start.previous);
        for (const auto &it : before.bases) {
            text += m_known.at(it)->text;
        }
        text += before.text;
    }
    return text + m_start.input;
}

std::size_t ConversationTurn::bodySize() const
{
    std::size_t size = m_start.input.size();
    for (const auto &[id, turn] : m_known) {
        size += turn->text.size();
    }
    return size;
}

std::size_t ConversationTurn::reads() const
{
    return m_reads;
}

bool ConversationTurn::isKept() const
{
    return m_isKept;
}

std::vector<TurnPlace> ConversationTurn::unfinishedPlaces() const
{
    std::vector<TurnPlace> places;
    for (const auto it : m_triedCopies) {
        places.push_back({m_start.id, it});
    }
    return places;
}

} // namespace Vanillahall::Forward
