/**
 * Permits for the requests of customers with a rate limit: from the customer's grantor, or by the reports while that doesn't answer.
 * Load pattern: most requests find a permit within one call of another proxy; a lost grantor delays a few requests by the time limit of a
 * call, and the others are decided by the reports at once.
 */
#pragma once

#include "vanillahall/core/customer/permit_grantor_base.h"
#include "vanillahall/core/customer/permit_holder_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"

#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** An ask to send to a grantor. */
struct PermitCall
{
    std::string grantor; ///< VM to ask.
    PermitAsk ask;       ///< The ask.
};

/** Result of CustomerPermits::request(). */
struct PermitDecision
{
    QuotaAnswer answer;             ///< Answer to the request; QuotaBusy while the reply to an ask is awaited.
    std::optional<PermitCall> call; ///< Ask to send now; its answer goes to CustomerPermits::onAnswer().
    bool isByReports = false;       ///< True if the grantor didn't decide.
};

/** Decides which requests of customers with a rate limit may be sent. */
class CustomerPermits
{
public:
    /**
     * @param vm Name of this VM.
     * @param ledger Counts what this proxy sends; must outlive this object.
     * @param grantor Grantor of this proxy; must outlive this object.
     */
    CustomerPermits(std::string vm, QuotaLedger &ledger, PermitGrantor &grantor);

    /** Requests a permit. */
    PermitDecision request(const QuotaRequest &request, TimePoint now);
    /**
     * Names this proxy's totals to the grantors while its reports don't reach them, so that they leave no part of the rate to it.
     * @return Asks to send now; empty while reports are exchanged.
     */
    std::vector<PermitCall> keepAlive(TimePoint now);
    /** Handles the answer to an ask; nothing if there was none in time. */
    void onAnswer(const PermitAsk &ask, const std::optional<PermitAnswer> &answer, TimePoint now);
    /** Forgets customers without recent requests. */
    void removeIdle(TimePoint now);

private:
    std::string m_vm;
    QuotaLedger &m_ledger;
    PermitGrantor &m_grantor;
    PermitHolder m_holder;
};

} // namespace Vanillahall::Forward
