/** Rate limits of customers across all proxies: what a limit allows, and the row of a customer in the store. */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Vanillahall::Forward {

/** Rule that every proxy keeps to: in any window, at most (rate * window + burst) * (1 + overrun) + slack requests are sent. */
struct QuotaSettings
{
    Duration window = std::chrono::seconds(5); ///< Length of the window.
    double overrun = 0.1;                      ///< Tolerated excess, relative to the limit.
    double slack = 20;                         ///< Tolerated excess, in requests.
};

/** What a limit allows under the rule. */
struct QuotaTerms
{
    double rate = 0;          ///< Permits per second that the pool and all shares get together.
    double capacity = 0;      ///< Limit on the permits in the pool.
    double reserve = 0;       ///< Permits in the pool that only programs in progress may use.
    Duration validity{};      ///< How long a withdrawn permit may be used, counted from the start of its withdrawal.
    Duration shareDepth{};    ///< A share accumulates permits for this time.
    Duration shareValidity{}; ///< How long a permit taken from a share may be used.
};

/** @return Terms of a limit. The rate has to be positive. */
[[nodiscard]] QuotaTerms quotaTerms(const CustomerLimit &limit, const QuotaSettings &settings);

/** Share of a customer's rate that one proxy may use without a call to the store. */
struct QuotaShare
{
    std::string vm;           ///< Name of the proxy's VM.
    std::string incarnation;  ///< Incarnation of the process.
    double share = 0;         ///< Fraction of the rate.
    std::uint64_t expiryMs{}; ///< End of the lease by the store's clock, in milliseconds.

    bool operator==(const QuotaShare &) const = default;
};

/** Row of a customer in the store. */
struct QuotaRow
{
    double available = 0;                ///< Permits in the pool at `atMs`.
    std::uint64_t atMs{};                ///< Time of the last change by the store's clock, in milliseconds.
    CustomerLimit limit;                 ///< Limit that the row was last computed for.
    std::vector<QuotaShare> shares = {}; ///< Leased shares.
    std::string writer = {};             ///< Unique name of the write that made this row.
    std::uint64_t version{};             ///< Version of the row; 0 if there is none.
    bool isUnreadable = false;           ///< True if the row can't be decoded; only its version is known then.
};

/** Conditional write of a customer's row. */
struct QuotaWrite
{
    std::string customer; ///< Customer.
    QuotaRow row;         ///< New row; its version is the one that the store must have.
};

/** @return Sum of the shares whose leases haven't expired. */
[[nodiscard]] double leasedShare(const QuotaRow &row, std::uint64_t storeMs);
/**
 * Refills the pool until a time, at the rate less the leased shares, and removes expired shares. A missing row gets a full pool. A row that
 * can't be decoded gets an empty pool, and a share for its unknown holders. If the store's clock was reset, the pool isn't refilled.
 */
void advancePool(QuotaRow &row, const QuotaTerms &terms, std::uint64_t storeMs);

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

/** Largest sum of the shares; the pool keeps the rest of the rate for proxies without a share. */
inline constexpr double MaxLeasedShare = 0.5;
/** Duration of a lease by the store's clock. */
inline constexpr Duration QuotaLease = std::chrono::seconds(20);
/** A proxy renews its lease after this time. */
inline constexpr Duration QuotaRenewal = std::chrono::seconds(10);
/** A proxy stops using a share this long before its lease expires; covers the error of its estimate of the store's clock. */
inline constexpr Duration QuotaLeaseMargin = std::chrono::seconds(1);
/** Part of each permit's validity that is left unused, since a proxy's estimate of the store's clock is late by the time of a reply. */
inline constexpr Duration QuotaClockMargin = std::chrono::milliseconds(100);
/** Longest validity of a permit. */
inline constexpr Duration MaxPermitValidity = std::chrono::seconds(4);
/** Longest time for which a share accumulates permits; lets shares of small customers hold whole permits. */
inline constexpr Duration MaxShareDepth = std::chrono::seconds(10);
/** Shortest validity of a permit; if the tolerance of the rule is too small for it, the pool is refilled more slowly instead. */
inline constexpr Duration MinPermitValidity = std::chrono::milliseconds(250);
/** Shares in one row at most; bounds its size. */
inline constexpr std::size_t MaxQuotaShares = 16;

} // namespace Vanillahall::Forward
