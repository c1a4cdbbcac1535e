#include "vanillahall/core/budget/budget_owners_base.h"

#include "../placement/key_hash_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/** @return Proxy preferred as the owner of a partition: the one with the highest hash of name and partition. */
std::string preferredOwner(std::uint32_t partition, const std::vector<std::string> &live)
{
    std::string best;
    std::uint64_t bestHash = 0;
    for (const auto &it : live) {
        const auto hash = keyHash(it + "/" + std::to_string(partition));
        if (best.empty() || hash > bestHash) {
            best = it;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace

std::uint32_t budgetPartition(const std::string &program)
{
    return static_cast<std::uint32_t>(keyHash(program) % BudgetPartitions);
}

BudgetOwners::BudgetOwners(std::string self, std::string incarnation, std::uint32_t sharePercent)
    : m_self(std::move(self))
    , m_incarnation(std::move(incarnation))
    , m_sharePercent(sharePercent)
{
    for (std::uint32_t n = 0; n < BudgetPartitions; n++) {
        m_partitions[n].row.partition = n;
    }
}

bool BudgetOwners::isOwnRow(const BudgetOwnerRow &row) const
{
    return row.owner == m_self && row.incarnation == m_incarnation;
}

bool BudgetOwners::isFormerOwnRow(const BudgetOwnerRow &row) const
{
    return row.owner == m_self && row.incarnation != m_incarnation;
}

void BudgetOwners::onRowsRead(const std::vector<BudgetOwnerRow> &rows, TimePoint endedAt)
{
    m_wasRead = true;
    for (const auto &it : rows) {
        if (it.partition < BudgetPartitions) {
            applyRow(m_partitions[it.partition], it, endedAt);
        }
    }
}

void BudgetOwners::applyRow(Partition &partition, const BudgetOwnerRow &row, TimePoint shownAt)
{
    // A read that started before the last write may end after it.
    if (row.version <= partition.row.version) {
        return;
    }
    const auto &pending = partition.pending;
    if (pending && row.incarnation == m_incarnation && row.owner == pending->row.owner && row.term == pending->row.term
        && row.renewals == pending->row.renewals) {
        partition.row.version = row.version;
        applyPending(partition, shownAt);
        return;
    }
    partition.row = row;
    partition.shownAt = shownAt;
    partition.wasSeen = true;
    partition.isOwned = isOwnRow(row);
    // The condition of the pending write doesn't hold any more.
    partition.pending.reset();
    partition.isGivingUp = false;
}

void BudgetOwners::applyPending(Partition &partition, TimePoint shownAt)
{
    const auto pending = std::exchange(partition.pending, std::nullopt);
    if (!pending) {
        return;
    }
    const auto version = partition.row.version;
    partition.row = pending->row;
    partition.row.version = version;
    partition.shownAt = shownAt;
    partition.wasSeen = true;
    partition.isOwned = isOwnRow(pending->row);
    partition.isGivingUp = false;
    partition.leaseStart = pending->startedAt;
    if (pending->isClaim) {
        partition.quarantineEnd = pending->isQuarantined ? shownAt + OutageShareQuarantine : TimePoint();
        partition.areGrantsKnown = false;
        m_claims.push_back(pending->claim);
    }
}

bool BudgetOwners::isClean(const Partition &partition, TimePoint now)
{
    return now >= partition.quarantineEnd && (!partition.lastUse || now - *partition.lastUse >= OutageShareQuarantine);
}

bool BudgetOwners::canClaim(const Partition &partition, TimePoint now) const
{
    if (!m_wasRead || m_isStopping || partition.isOwned) {
        return false;
    }
    const auto &row = partition.row;
    if (row.version == 0) {
        return true;
    }
    if (row.sharePercent != m_sharePercent) {
        // Its owner may still grant another share; by then, the programs that got tokens have ended, too.
        return now - partition.shownAt >= BudgetTakeoverTime + OutageShareQuarantine;
    }
    return row.owner.empty() || isFormerOwnRow(row) || now - partition.shownAt >= BudgetTakeoverTime;
}

OutageLedger BudgetOwners::makeLedger(const Partition &partition, const OutageShare &share, TimePoint now) const
{
    auto turns = share.turns(partition.row.partition, now);
    const bool isKnown = partition.areGrantsKnown || now >= partition.quarantineEnd;
    if (!isKnown || !turns) {
        return {false, m_hasOthers, partition.row.version};
    }
    return {true, m_hasOthers, partition.row.version, std::move(*turns)};
}

void BudgetOwners::beginRenewal(Partition &partition, const OutageShare &share, TimePoint now) const
{
    if (!partition.pending) {
        auto row = partition.row;
        row.renewals++;
        row.ledger = makeLedger(partition, share, now);
        partition.pending = PendingWrite{std::move(row), now, false, false};
        partition.urgentRenewals -= std::min(partition.urgentRenewals, 1U);
    }
    partition.renewedAt = now;
}

void BudgetOwners::beginClaim(Partition &partition, TimePoint now) const
{
    if (!partition.pending) {
        auto row = partition.row;
        const bool isFirst = row.version == 0 && !partition.wasSeen;
        const bool isGivenUp = row.owner.empty() && row.sharePercent == m_sharePercent;
        const bool isHandedOver = isGivenUp && row.isClean;
        ClaimedPartition claim{row.partition, row.term + 1, row.owner, row.ledger, isFirst || isHandedOver};
        claim.areGrantsKnown = claim.areGrantsKnown || (isGivenUp && row.ledger.isComplete);
        claim.formerLedger.isComplete = row.ledger.isComplete && row.sharePercent == m_sharePercent;
        // Until the share of this process knows them, the row keeps the grants.
        row.ledger.isComplete = claim.areGrantsKnown;
        row.ledger.hasWitnesses = m_hasOthers;
        row.ledger.seenVersion = row.version;
        row.owner = m_self;
        row.incarnation = m_incarnation;
        row.term++;
        row.renewals++;
        row.isClean = false;
        row.sharePercent = m_sharePercent;
        partition.pending = PendingWrite{std::move(row), now, true, !isFirst && !isHandedOver, std::move(claim)};
    }
}

void BudgetOwners::beginGiveUp(Partition &partition, const OutageShare &share, TimePoint now) const
{
    // A renewal whose outcome is unknown is resolved first.
    if (!partition.pending) {
        auto row = partition.row;
        row.owner.clear();
        row.renewals++;
        row.isClean = isClean(partition, now);
        row.ledger = makeLedger(partition, share, now);
        partition.pending = PendingWrite{std::move(row), now, false, false};
    }
    partition.isGivingUp = true;
}

void BudgetOwners::updatePreference(Partition &partition, const std::string &preferred, TimePoint now) const
{
    if (preferred == m_self) {
        partition.otherPreferredAt.reset();
    } else {
        partition.otherPreferredAt = partition.otherPreferredAt.value_or(now);
    }
}

std::vector<BudgetOwnerRow> BudgetOwners::beginWrite(const std::vector<std::string> &live, const OutageShare &share, TimePoint now)
{
    if (m_isWriting) {
        return {};
    }
    const bool isListed = std::any_of(live.begin(), live.end(), [this](const auto &it) {
        return it != m_self;
    });
    m_wasGreeted = m_wasGreeted && !isListed;
    m_hasOthers = isListed || m_wasGreeted;
    m_written.clear();
    for (std::uint32_t n = 0; n < BudgetPartitions && m_written.size() < MaxOwnerRowsPerWrite; n++) {
        auto &partition = m_partitions[n];
        if (!partition.isOwned) {
            continue;
        }
        updatePreference(partition, preferredOwner(n, live), now);
        const auto &since = partition.otherPreferredAt;
        const bool isHandedOver = since && now - *since >= BudgetHandOverDelay && isClean(partition, now);
        if (m_isStopping || partition.isGivingUp || isHandedOver) {
            beginGiveUp(partition, share, now);
            m_written.push_back(n);
        } else if (partition.urgentRenewals != 0 || now - partition.renewedAt >= BudgetRenewInterval) {
            beginRenewal(partition, share, now);
            m_written.push_back(n);
        }
    }
    // Claims are refused more often, so they don't share a transaction with renewals.
    for (std::uint32_t n = 0; m_written.empty() && n < BudgetPartitions; n++) {
        auto &partition = m_partitions[n];
        if (canClaim(partition, now) && (isFormerOwnRow(partition.row) || preferredOwner(n, live) == m_self)) {
            beginClaim(partition, now);
        }
    }
    for (std::uint32_t n = 0; n < BudgetPartitions && m_written.size() < MaxOwnerRowsPerWrite; n++) {
        const auto &pending = m_partitions[n].pending;
        if (pending && pending->isClaim) {
            m_written.push_back(n);
        }
    }
    std::vector<BudgetOwnerRow> rows;
    rows.reserve(m_written.size());
    for (const auto n : m_written) {
        rows.push_back(m_partitions[n].pending->row);
    }
    m_isWriting = !rows.empty();
    return rows;
}

void BudgetOwners::onWritten(std::uint64_t version, TimePoint now)
{
    m_isWriting = false;
    for (const auto n : m_written) {
        auto &partition = m_partitions[n];
        // A read may have shown a newer row meanwhile.
        if (partition.pending && version > partition.row.version) {
            partition.row.version = version;
            applyPending(partition, now);
        }
    }
}

void BudgetOwners::onConflict(const std::vector<BudgetOwnerRow> &rows, TimePoint now)
{
    m_isWriting = false;
    for (const auto n : m_written) {
        auto &partition = m_partitions[n];
        const auto row = std::find_if(rows.begin(), rows.end(), [n](const auto &it) {
            return it.partition == n;
        });
        if (row != rows.end()) {
            applyRow(partition, *row, now);
        } else if (partition.row.version != 0) {
            // The row was removed. Its owner isn't known any more, so its successor isn't the first one.
            partition.row = {};
            partition.row.partition = n;
            partition.isOwned = false;
            partition.pending.reset();
            partition.isGivingUp = false;
        }
    }
}

void BudgetOwners::onWriteFailed()
{
    m_isWriting = false;
}

void BudgetOwners::recordUse(std::uint32_t partition, TimePoint now)
{
    m_partitions.at(partition).lastUse = now;
}

void BudgetOwners::giveUpAll()
{
    m_isStopping = true;
}

void BudgetOwners::renewSoon()
{
    constexpr unsigned Renewals = 2;
    m_wasGreeted = true;
    for (auto &it : m_partitions) {
        it.urgentRenewals = it.isOwned ? Renewals : 0;
    }
}

std::vector<ClaimedPartition> BudgetOwners::takeClaims()
{
    return std::exchange(m_claims, {});
}

void BudgetOwners::recordGrantsKnown(const ClaimedPartition &claim)
{
    auto &partition = m_partitions.at(claim.partition);
    if (partition.isOwned && partition.row.term == claim.term) {
        partition.areGrantsKnown = true;
        partition.urgentRenewals = std::max(partition.urgentRenewals, 1U);
    }
}

OwnerRight BudgetOwners::right(std::uint32_t partition, TimePoint now) const
{
    const auto &state = m_partitions.at(partition);
    const bool isValid = state.leaseStart && now >= *state.leaseStart && now - *state.leaseStart < BudgetLease;
    if (!state.isOwned || state.isGivingUp || m_isStopping || !isValid) {
        return OwnerRight::None;
    }
    if (now >= state.quarantineEnd) {
        return OwnerRight::Full;
    }
    return state.areGrantsKnown ? OwnerRight::Settled : OwnerRight::Quarantined;
}

bool BudgetOwners::needsWitness(std::uint32_t partition) const
{
    const auto &state = m_partitions.at(partition);
    return state.row.ledger.hasWitnesses || (state.pending && state.pending->row.ledger.hasWitnesses);
}

std::string BudgetOwners::owner(std::uint32_t partition) const
{
    const auto &row = m_partitions.at(partition).row;
    return row.sharePercent == m_sharePercent ? row.owner : std::string();
}

bool BudgetOwners::hasUrgentRenewals() const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(), [](const auto &it) {
        return it.isOwned && it.urgentRenewals != 0;
    });
}

std::set<std::string> BudgetOwners::owners() const
{
    std::set<std::string> names;
    for (std::uint32_t n = 0; n < BudgetPartitions; n++) {
        if (auto name = owner(n); !name.empty()) {
            names.insert(std::move(name));
        }
    }
    return names;
}

std::size_t BudgetOwners::ownedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_partitions.begin(), m_partitions.end(), [](const auto &it) {
        return it.isOwned;
    }));
}

std::size_t BudgetOwners::ownerlessCount() const
{
    return static_cast<std::size_t>(std::count_if(m_partitions.begin(), m_partitions.end(), [this](const auto &it) {
        return it.row.owner.empty() || it.row.sharePercent != m_sharePercent;
    }));
}

OutageAnswer grantAsOwner(BudgetOwners &owners, OutageShare &share, const OutageGrantRequest &request, TimePoint now)
{
    const auto partition = budgetPartition(request.program);
    const auto answer = share.grant(request, owners.right(partition, now), now);
    if (std::holds_alternative<OutageGranted>(answer)) {
        owners.recordUse(partition, now);
    }
    return answer;
}

OutageCloseAnswer closeAsOwner(BudgetOwners &owners, OutageShare &share, const std::string &program, TimePoint now)
{
    const auto partition = budgetPartition(program);
    const auto answer = share.close(program, owners.right(partition, now), now);
    if (std::holds_alternative<OutageClosed>(answer)) {
        owners.recordUse(partition, now);
    }
    return answer;
}

} // namespace Vanillahall::Forward
