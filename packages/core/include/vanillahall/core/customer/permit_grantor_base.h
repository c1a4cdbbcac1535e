/**
 * Grantor of a customer's permits: one proxy per customer decides for all.
 * Load pattern: the requests of a small customer reach hundreds of proxies, a few at each and several within a second; an equal part of the
 * limit is far below one request per proxy. One proxy per customer, chosen by rendezvous hashing, therefore keeps a bucket with the exact
 * counts that the others name when they ask for permits. Counts are totals of an incarnation and are merged by maximum, so lost, repeated
 * and late messages change nothing.
 */
#pragma once

#include "vanillahall/core/customer/permit_type.h"
#include "vanillahall/core/forward_type.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Chooses the grantors, and grants permits of the customers whose grantor this proxy is. Times are of CLOCK_BOOTTIME. */
class PermitGrantor
{
public:
    /** @param vm Name of this VM. */
    explicit PermitGrantor(std::string vm, const QuotaSettings &settings = {});

    // Commands.

    /** Replaces the customers and their limits. */
    void apply(const std::vector<Customer> &customers, TimePoint now);
    /** Replaces the proxies that are alive. @param readAt When the read of their rows was requested. */
    void onMembers(const std::vector<std::string> &alive, TimePoint readAt, TimePoint now);
    /** Merges the reports of all proxies. */
    void onReports(const std::vector<UsageReport> &reports, TimePoint now);
    /** Answers a proxy that asks for permits. */
    PermitAnswer grant(const PermitAsk &ask, TimePoint now);

    // Queries.

    /** @return VM of the grantor of a customer; empty if none is known. */
    [[nodiscard]] std::string grantorOf(std::uint64_t customer) const;
    /** @return Capacity of a customer's bucket; 0 without a limit. */
    [[nodiscard]] double capacityOf(std::uint64_t customer) const;
    /** @return Number of customers whose permits this proxy grants now. */
    [[nodiscard]] std::size_t activeCount(TimePoint now) const;

private:
    /** Use of one customer's limit by one incarnation of a proxy. */
    struct Use
    {
        std::uint64_t counted{}; ///< Requests that were taken from the bucket.
        std::uint64_t number{};  ///< Number of its last ask.
        double demand = 0;       ///< Demand per second.
        TimePoint heardAt{};     ///< When it was last heard of.
    };

    /** State of one customer. */
    struct Account
    {
        CustomerLimit limit;             ///< Limit.
        double capacity = 0;             ///< Capacity of the bucket.
        double level = 0;                ///< Permits in the bucket; may be negative.
        double reservedRate = 0;         ///< Part of the rate that is left to proxies that aren't heard of.
        TimePoint reservedAt{};          ///< Time of `reservedRate`.
        TimePoint advancedAt{};          ///< Time of `level`.
        std::optional<TimePoint> since;  ///< Since when this proxy is the grantor.
        std::map<std::string, Use> uses; ///< By VM and incarnation.
    };

    [[nodiscard]] bool isActive(const Account &account, TimePoint now) const;
    void updateRole(std::uint64_t customer, Account &account, TimePoint now) const;
    static void advance(Account &account, TimePoint now);
    static Use &merge(Account &account, const UsageReport &report, const CustomerUsage &usage, TimePoint now);
    void reserve(Account &account, TimePoint now) const;

    std::string m_vm;
    QuotaSettings m_settings;
    std::vector<std::string> m_candidates;                 ///< Proxies among which grantors are chosen.
    std::optional<TimePoint> m_readAt;                     ///< When the last read of the proxies that are alive was requested.
    std::unordered_map<std::uint64_t, Account> m_accounts; ///< Customers with a limit, by hash of the name.
    std::map<std::string, std::uint64_t> m_reports;        ///< Number of the last report, by VM and incarnation.
    DecayingRate m_asks{std::chrono::seconds(1)};          ///< Asks that were answered.
};

/** Proxies among which grantors are chosen: a proxy keeps connections to as many. */
inline constexpr std::size_t MaxGrantors = 16;
/** Asks per second that one grantor answers; 0.15 ms each takes 3% of a core. The others are decided by the reports. */
inline constexpr double MaxAsksPerSecond = 200;
/** A grantor stops granting when its list of proxies is older: longer than an outage of the store and a heartbeat before and after it. */
inline constexpr Duration MemberListLifetime = std::chrono::seconds(17);
/**
 * A new grantor begins after this time. By then most lists of proxies are newer than the change, and proxies that aren't heard of, because
 * they ask a former grantor or none, have their part of the rate reserved.
 */
inline constexpr Duration GrantorStartDelay = std::chrono::seconds(6);

} // namespace Vanillahall::Forward
