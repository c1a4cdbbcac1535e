/** Rate limits of customers across all proxies: the rule, and what a proxy reports about its customers. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** Rule that all proxies keep to: in any window, at most (rate * window + burst) * (1 + overrun) + slack requests are sent. */
struct QuotaSettings
{
    Duration window = std::chrono::seconds(5); ///< Length of the window.
    double overrun = 0.1;                      ///< Tolerated excess, relative to the limit.
    double slack = 20;                         ///< Tolerated excess, in requests.
};

/** Use of one customer's limit by one proxy. */
struct CustomerUsage
{
    std::uint64_t customer{};    ///< Hash of the customer's name.
    std::uint64_t sent{};        ///< Requests sent since the start of the process.
    std::uint64_t demandPerKs{}; ///< Recent demand, in requests per 1,000 s.

    bool operator==(const CustomerUsage &) const = default;
};

/** Report of one proxy; its row in the store. */
struct UsageReport
{
    std::string vm;                   ///< Name of the VM.
    std::string incarnation;          ///< Incarnation of the process.
    std::uint64_t number{};           ///< Number of the report; grows within the incarnation.
    std::vector<CustomerUsage> usage; ///< Customers with recent demand; the others haven't changed.
};

/** Rate of events that decays exponentially. */
class DecayingRate
{
public:
    /** @param timeConstant Time after which an event counts 1/e as much. */
    explicit DecayingRate(Duration timeConstant);
    /** Records one event. */
    void record(TimePoint now);
    /** @return Events per second. */
    [[nodiscard]] double perSecond(TimePoint now) const;

private:
    double m_seconds;
    double m_rate = 0;
    TimePoint m_at{};
};

} // namespace Vanillahall::Forward
