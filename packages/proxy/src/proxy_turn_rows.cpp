#include "proxy_clock.h"
#include "proxy_state.h"

#include <algorithm>

namespace Vanillahall::Forward {

void ProxyState::sweepTurns()
{
    const auto present = now();
    if (present < m_nextTurnSweepAt || m_storeClockMs == 0) {
        return;
    }
    m_nextTurnSweepAt = present + settings.turnSweepCycle * members.count(present) / Platform::TurnParts;
    const auto part = m_nextTurnPart++;
    readAll(
        [part, nowMs = storeNowMs()](const std::string &after) {
            return Platform::readExpiredTurnsCall(part, nowMs, after);
        },
        false,
        [this, part](const auto &rows) {
            if (!rows) {
                return;
            }
            Error ec;
            auto expired = Platform::decodeExpiredTurns(*rows, ec);
            if (expired.size() != rows->rows.size()) {
                reportInvalidRow(ec, rows->version);
            }
            removeExpiredTurns(part, std::move(expired));
        });
}

void ProxyState::removeExpiredTurns(std::uint64_t part, std::vector<Platform::ExpiredTurn> turns)
{
    const auto n = Platform::removableTurns(turns);
    if (n == 0) {
        return;
    }
    const std::vector<Platform::ExpiredTurn> first(turns.begin(), turns.begin() + static_cast<std::ptrdiff_t>(n));
    store.call(Platform::removeExpiredTurnsCall(part, first),
               StoreTimeout,
               false,
               [weak = weak_from_this(), part, n, turns = std::move(turns)](const auto &reply, const Error &reason) mutable {
                   const auto self = weak.lock();
                   if (!self) {
                       return;
                   }
                   Error ec = reason;
                   const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
                   if (answer) {
                       self->onExpiredTurnsRemoved(part, std::move(turns), n, *answer);
                       return;
                   }
                   self->onStoreFailure(ec.message);
                   self->log(LogLevel::Warning, EventNumber::DependencyLost, "peer=store call=remove_turns why=\"" + ec.message + '"');
               });
}

void ProxyState::onExpiredTurnsRemoved(std::uint64_t part,
                                       std::vector<Platform::ExpiredTurn> turns,
                                       std::size_t count,
                                       const Platform::TransactionAnswer &answer)
{
    const auto end = turns.begin() + static_cast<std::ptrdiff_t>(count);
    if (std::holds_alternative<Platform::TransactionDone>(answer)) {
        metrics.count("vanillahall_turns_removed_total", {}, count);
        turns.erase(turns.begin(), end);
    } else {
        // A turn that was written again has a newer expiry record, and a removed turn needs none. So in both cases only this one is
        // removed.
        const auto &rows = std::get<Platform::TransactionRefused>(answer).rows;
        const auto rest = std::stable_partition(turns.begin(), end, [&rows](const Platform::ExpiredTurn &turn) {
            return std::none_of(rows.begin(), rows.end(), [&turn](const Platform::StoreRow &row) {
                return row.version == turn.version && row.key.compare(0, turn.turnKey.size(), turn.turnKey) == 0;
            });
        });
        if (rest == turns.begin()) {
            return;
        }
        callStore(Platform::removeExpiryRecordsCall(part, {turns.begin(), rest}), "remove_turn_marks");
        turns.erase(turns.begin(), rest);
    }
    removeExpiredTurns(part, std::move(turns));
}

} // namespace Vanillahall::Forward
