/**
 * Rate limits of customers, kept across all proxies.
 * Load pattern: the requests of each customer reach many proxies, a few at each, and one customer sends many times its limit. A call to
 * the store per request would take longer than many requests do. So each proxy reports to the store how many requests of each customer it
 * has sent, several times a second, and reads the reports of the others. All proxies compute the same token bucket for a customer from
 * them; between two reports, each may use only its part of the bucket, in proportion to its recent demand. A proxy that doesn't reach the
 * store goes on at its part of the rate, and the others leave that part to it.
 */
#pragma once

#include "vanillahall/core/customer/quota_type.h"
#include "vanillahall/core/forward_type.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace Vanillahall::Forward {

/** Time constant of the recent demand. */
inline constexpr Duration DemandTime = std::chrono::seconds(2);

/** Request for a permit. */
struct QuotaRequest
{
    std::string customer;       ///< Customer.
    bool isInProgress = false;  ///< True if the request belongs to a program in progress.
    bool isRepeated = false;    ///< True if this request has called QuotaLedger::request() before.
    std::uint64_t spreadHash{}; ///< Hash of the program; spreads the retry delays of requests that are refused together.
    Duration timeLeft{};        ///< Remaining time of the request; clients wait for at most a third of it.
    double leastLevel = 0;      ///< Permits that have to stay in the bucket, because that of the grantor is smaller.
};

/** The request may be sent. */
struct QuotaGranted
{
};
/** The customer is over its limit. */
struct QuotaRefused
{
    Duration retryAfter{}; ///< Time until there is a permit again, spread.
};
/** This proxy has used up its part, while the customer is within its limit as far as known; ask again after the next reports. */
struct QuotaBusy
{
};
using QuotaAnswer = std::variant<QuotaGranted, QuotaRefused, QuotaBusy>; ///< Result of QuotaLedger::request().

/** What this proxy knows about the rate limit of one customer. */
struct QuotaView
{
    CustomerLimit limit;                     ///< Limit.
    double level = 0;                        ///< Permits in the bucket of all proxies, as far as known; may be negative.
    double capacity = 0;                     ///< Capacity of the bucket.
    double part = 0;                         ///< Permits that this proxy may still use.
    double demand = 0;                       ///< Recent demand at this proxy, per second.
    bool isInTouch = false;                  ///< True if reports were exchanged recently.
    std::optional<Duration> reportsAge = {}; ///< Age of the reports of the other proxies; nothing if none were read.
};

/** Decides which requests of customers with a rate limit may be sent. Times are of CLOCK_BOOTTIME. */
class QuotaLedger
{
public:
    /**
     * @param vm Name of this VM.
     * @param incarnation Unique for each start of the process.
     */
    QuotaLedger(std::string vm, std::string incarnation, const QuotaSettings &settings = {});

    // Commands.

    /** Replaces the customers and their limits; those without a limit need no permits. */
    void apply(const std::vector<Customer> &customers, TimePoint now);
    /** Requests a permit. */
    QuotaAnswer request(const QuotaRequest &request, TimePoint now);
    /** Takes back a permit whose request never reached a server. */
    void takeBack(const std::string &customer);
    /** Counts a request that has arrived as demand. */
    void recordDemand(std::uint64_t customer, TimePoint now);
    /** Counts a request that is sent with a permit of the customer's grantor. */
    void recordSent(std::uint64_t customer, TimePoint now);
    /** @return Report to write to the store now. */
    UsageReport report(TimePoint now);
    /** Handles the success of the write of a report. */
    void onReportWritten(TimePoint writtenAt);
    /** Handles the reports of all proxies, this one's included. @param readAt When the read was requested. */
    void onReports(const std::vector<UsageReport> &reports, TimePoint readAt, TimePoint now);

    // Queries.

    /** @return The answer that request() would give now; nothing is changed. */
    [[nodiscard]] QuotaAnswer preview(const QuotaRequest &request, TimePoint now) const;
    /** @return What is known about a customer's limit; nothing if it has none. */
    [[nodiscard]] std::optional<QuotaView> view(const std::string &customer, TimePoint now) const;
    /** @return True if a customer, named by its hash, has a limit. */
    [[nodiscard]] bool hasLimit(std::uint64_t customer) const;
    /** @return Report with the usage of one customer only, for its grantor. */
    [[nodiscard]] UsageReport usageOf(std::uint64_t customer, TimePoint now) const;
    /** @return Capacity of a customer's bucket; 0 without a limit. */
    [[nodiscard]] double capacityOf(std::uint64_t customer) const;
    /** @return Recent demand of a customer at this proxy, per second. */
    [[nodiscard]] double demandOf(std::uint64_t customer, TimePoint now) const;
    /** @return Number of customers with a rate limit. */
    [[nodiscard]] std::size_t size() const;
    /** @return Time between two reports; grows with the number of proxies, so that their writes fit into one part of the table. */
    [[nodiscard]] Duration reportInterval() const;
    /** @return VMs whose reports haven't changed for so long that they may be removed. */
    [[nodiscard]] std::vector<std::string> expired(TimePoint now) const;
    /** @return True if reports were exchanged recently. */
    [[nodiscard]] bool isInTouch(TimePoint now) const;

private:
    /** State of one customer. */
    struct Account
    {
        CustomerLimit limit;             ///< Limit.
        double capacity = 0;             ///< Capacity of the bucket.
        double level = 0;                ///< Permits in the bucket of all proxies, as far as known; may be negative.
        double part = 0;                 ///< Permits that this proxy may still use.
        double partRate = 0;             ///< Rate at which `part` grows.
        double reservedRate = 0;         ///< Part of the rate that is left to proxies out of touch.
        TimePoint advancedAt{};          ///< Time of `level` and `part`.
        std::uint64_t sent{};            ///< Requests sent by this proxy.
        DecayingRate demand{DemandTime}; ///< Demand at this proxy.
        unsigned quietReports{};         ///< Reports since the last request.
    };

    /** Use of one customer's limit by another proxy. */
    struct RemoteUsage
    {
        std::uint64_t sent{}; ///< Requests sent, by its last report.
        double demand = 0;    ///< Demand per second, by its last report.
    };

    /** Another proxy. */
    struct Remote
    {
        std::string incarnation;                              ///< Incarnation of its process.
        std::uint64_t number{};                               ///< Number of its last report.
        TimePoint changedAt{};                                ///< When its report was last seen to change.
        bool isFollowedLate = false;                          ///< True if it had sent requests before its first report seen here.
        std::unordered_map<std::uint64_t, RemoteUsage> usage; ///< Its customers.
    };

    void advance(Account &account, TimePoint now) const;
    /** Applies the report of another proxy. @param isBaseline True if what it has sent so far was counted before this process began. */
    void applyReport(const UsageReport &report, bool isBaseline, TimePoint now);
    void dividePermits(TimePoint now);
    [[nodiscard]] Duration retryDelay(const Account &account, double missing, const QuotaRequest &request) const;

    std::string m_vm;
    std::string m_incarnation;
    QuotaSettings m_settings;
    std::uint64_t m_reports = 0;                                   ///< Number of reports made.
    std::unordered_map<std::uint64_t, Account> m_accounts;         ///< Customers with a limit, by hash of the name.
    std::unordered_map<std::uint64_t, std::uint64_t> m_formerSent; ///< Counts of customers without a limit now; counts must not fall.
    std::map<std::string, Remote> m_remotes;                       ///< Other proxies, by VM.
    std::optional<TimePoint> m_writtenAt;                          ///< When the last written report was made.
    std::optional<TimePoint> m_readAt;                             ///< When the last read of the reports was requested.
};

/** @return Retry delay of a refused request, spread over twice `delay` and useful for the client. */
[[nodiscard]] Duration spreadRetryDelay(Duration delay, const QuotaRequest &request);

/** @return Hash that identifies a customer in reports. */
[[nodiscard]] std::uint64_t customerHash(const std::string &name);

/** Shortest time between two reports; the tolerance of the rule covers a customer at eight times its limit for this long. */
inline constexpr Duration MinReportInterval = std::chrono::milliseconds(400);
/** Time between two reports per proxy: twice what a transaction takes, since a part of a table makes them one after the other. */
inline constexpr Duration ReportIntervalPerProxy = std::chrono::milliseconds(12);
/** Without an exchange of reports for this long, a proxy uses only its part of the rate. */
inline constexpr Duration OutOfTouchTime = std::chrono::milliseconds(1500);
/** A proxy whose report doesn't change for this long keeps its part of the rate reserved, since it may be out of touch and go on. */
inline constexpr Duration SilentProxyTime = std::chrono::seconds(2);
/** A proxy whose report hasn't changed for this long has ended. */
inline constexpr Duration LostProxyTime = std::chrono::seconds(30);
/** A report that hasn't changed for this long is removed; longer than any outage that has to be survived. */
inline constexpr Duration ReportLifetime = std::chrono::minutes(10);

} // namespace Vanillahall::Forward
