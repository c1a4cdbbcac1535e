#include "vanillahall/core/customer/permit_holder_base.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration ByReportsTime = std::chrono::milliseconds(500); ///< A grantor that didn't answer isn't asked for this long.
constexpr unsigned MaxFailures = 2; ///< Asks without an answer in a row after which the reports decide; a single message may be lost.
constexpr Duration MaxShortage = std::chrono::milliseconds(800); ///< Requests wait for a permit that is due within this time.
constexpr Duration EntryLifetime = std::chrono::seconds(30);     ///< Longer than any time kept in an entry.

} // namespace

PermitState PermitHolder::take(std::uint64_t customer, bool isInProgress, TimePoint now)
{
    auto &entry = m_entries[customer];
    if (entry.held != 0 && now < entry.heldUntil) {
        entry.held--;
        return PermitHeld{};
    }
    entry.held = 0;
    if (entry.pending) {
        return PermitAwaited{};
    }
    if (now < entry.byReportsUntil) {
        return PermitByReports{};
    }
    const auto spentUntil = isInProgress ? entry.spentUntil : entry.newSpentUntil;
    if (now + MaxShortage < spentUntil) {
        return PermitRefused{spentUntil - now};
    }
    if (now < spentUntil) {
        return PermitAwaited{};
    }
    entry.pending = ++m_asks;
    entry.isPendingInProgress = isInProgress;
    entry.askedAt = now;
    return PermitToAsk{m_asks, entry.held};
}

std::vector<std::pair<std::uint64_t, PermitToAsk>> PermitHolder::keepAlive(TimePoint now)
{
    std::vector<std::pair<std::uint64_t, PermitToAsk>> asks;
    for (const auto &[customer, entry] : m_entries) {
        if (!entry.pending && now - entry.askedAt <= EntryLifetime) {
            asks.push_back({customer, {++m_asks, now < entry.heldUntil ? entry.held : 0}});
        }
    }
    return asks;
}

void PermitHolder::onAnswer(std::uint64_t customer, std::uint64_t number, const std::optional<PermitAnswer> &answer, TimePoint now)
{
    const auto found = m_entries.find(customer);
    if (found == m_entries.end() || found->second.pending != number) {
        return;
    }
    auto &entry = found->second;
    entry.pending.reset();
    entry.failures = answer ? 0 : entry.failures + 1;
    if (entry.failures != 0 && entry.failures < MaxFailures) {
        return; // The next request asks again.
    }
    if (!answer || std::holds_alternative<NotGrantor>(*answer)) {
        entry.byReportsUntil = now + ByReportsTime;
    } else if (const auto *granted = std::get_if<PermitsGranted>(&*answer)) {
        entry.held = granted->count;
        // The grantor has counted them at some time after the ask.
        entry.heldUntil = entry.askedAt + PermitLifetime;
    } else if (const auto *spent = std::get_if<PermitsSpent>(&*answer)) {
        (entry.isPendingInProgress ? entry.spentUntil : entry.newSpentUntil) = now + spent->retryAfter;
        entry.newSpentUntil = std::max(entry.newSpentUntil, entry.spentUntil);
    }
}

void PermitHolder::removeIdle(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &it) {
        return !it.second.pending && now - it.second.askedAt > EntryLifetime;
    });
}

} // namespace Vanillahall::Forward
