/** The part of a request that determines at which software version a resumed stream may go on. */
#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

constexpr Duration OriginTimeout = std::chrono::milliseconds(800); ///< Time for the store and the owner to tell the version of a stream.

/** Why a request with an unknown version is refused. */
struct OriginRefusal
{
    Outcome operator()(const OriginKnown &) const
    {
        return Outcome::NoServerOfVersion;
    }
    Outcome operator()(const OriginNeedsRecord &) const
    {
        return Outcome::NoStoreForStream;
    }
    Outcome operator()(const OriginNeedsRow &) const
    {
        return Outcome::NoStoreForStream;
    }
    Outcome operator()(const OriginNeedsOwner &) const
    {
        return Outcome::NoOwnerForStream;
    }
    Outcome operator()(const OriginAmbiguous &) const
    {
        return Outcome::StreamOriginUnknown;
    }
};

} // namespace

bool Exchange::hasStreamRow() const
{
    return m_route.repetition == Repetition::Resumable && !hasTokenBudget() && m_proxy.versions.hasSeveral();
}

std::string Exchange::versionRowKey() const
{
    return hasTokenBudget() ? m_programKey : keyOf("stream/" + std::to_string(content()));
}

StreamOrigin Exchange::streamOrigin() const
{
    OriginKnowledge known{m_proxy.versions.possibleSince(m_request.arrived),
                          hasTokenBudget() || hasStreamRow(),
                          {},
                          hasTokenBudget() && m_proxy.outage.isOn(),
                          m_outageVersions};
    if (!hasTokenBudget()) {
        known.unnamed = m_proxy.versions.unnamed();
    }
    if (known.hasRow) {
        const auto row = m_proxy.ledger.confirmedRow(versionRowKey(), m_request.arrived);
        known.row = row ? std::optional(row->streamVersions) : std::nullopt;
        if (row && row->outageTokens == 0U) {
            // The owner has granted nothing that was delivered, and grants nothing more.
            known.hasOwner = false;
        }
    }
    return findStreamOrigin(known);
}

bool Exchange::findOrigin()
{
    if (!isResumed() || m_origin) {
        return true;
    }
    m_originSearchedAt = m_originSearchedAt.value_or(now());
    const auto origin = streamOrigin();
    if (const auto *known = std::get_if<OriginKnown>(&origin)) {
        m_origin = known->software;
        return true;
    }
    const bool isNeedingOwner = std::holds_alternative<OriginNeedsOwner>(origin);
    const bool isNeedingStore = std::holds_alternative<OriginNeedsRecord>(origin) || std::holds_alternative<OriginNeedsRow>(origin);
    const bool isHopeless = std::holds_alternative<OriginAmbiguous>(origin) || (isNeedingOwner && m_isOwnerUnknown)
        || (isNeedingStore && !m_proxy.isStoreReachable());
    if (isHopeless || originWaitLeft() <= Duration::zero()) {
        refuseOrigin();
        return false;
    }
    if (std::holds_alternative<OriginNeedsRecord>(origin)) {
        readVersions();
        return false;
    }
    if (isNeedingOwner) {
        findOutageVersions();
        return false;
    }
    // The ledger reads the row before it grants tokens.
    return true;
}

void Exchange::readVersions()
{
    if (m_originStep != OriginStep::None) {
        return;
    }
    m_originStep = OriginStep::ReadingRecord;
    m_waitsForStore = true;
    setStoreTimer(storeWaitLeft());
    m_proxy.versions.confirm(shared_from_this(), m_request.arrived);
}

void Exchange::onOriginUpdate(bool hasFailed)
{
    if (m_isEnded || m_originStep != OriginStep::ReadingRecord) {
        return;
    }
    m_originStep = OriginStep::None;
    if (hasFailed) {
        setStoreTimer(nextStoreRetryDelay());
    } else {
        queryStore();
    }
}

void Exchange::findOutageVersions()
{
    if (m_originStep != OriginStep::None) {
        return;
    }
    m_originStep = OriginStep::AskingOwner;
    m_waitsForStore = true;
    setStoreTimer(storeWaitLeft());
    m_proxy.outage.findVersions(m_programKey, [self = shared_from_this(), program = m_programKey](const auto &versions) {
        if (self->m_isEnded || self->m_programKey != program || self->m_originStep != OriginStep::AskingOwner) {
            return;
        }
        self->m_originStep = OriginStep::None;
        self->m_outageVersions = versions;
        self->m_isOwnerUnknown = !versions;
        self->queryStore();
    });
}

void Exchange::refuseOrigin()
{
    m_originStep = OriginStep::None;
    answerNotRun(std::visit(OriginRefusal(), streamOrigin()));
}

Duration Exchange::originWaitLeft() const
{
    if (!m_originSearchedAt || m_origin) {
        return Duration::max();
    }
    return *m_originSearchedAt + OriginTimeout - now();
}

std::string Exchange::originFields() const
{
    if (!isResumed()) {
        return {};
    }
    const auto recorded = m_proxy.versions.possibleSince(m_request.arrived);
    const auto row = m_proxy.ledger.confirmedRow(versionRowKey(), m_request.arrived);
    std::string text = " origin=" + (m_origin ? m_origin->version : std::string("unknown"));
    text += " origin_record=" + (recorded ? std::to_string(recorded->size()) : std::string("unread"));
    text += " origin_row=" + (row ? std::to_string(row->streamVersions.size()) : std::string("unread"));
    text += " origin_owner=" + (m_outageVersions ? std::to_string(m_outageVersions->size()) : std::string("unknown"));
    return text;
}

} // namespace Vanillahall::Forward
