/**
 * Rate limits of customers, kept across all proxies.
 * Load pattern: the clients of a customer are connected to few proxies, so equal shares would refuse customers within their limit; one
 * customer sends many times its limit. A row per customer in the store holds a pool of permits and the shares of the rate that proxies have
 * leased. A proxy sends a request only with a permit that it has withdrawn from the pool, or that its share has accumulated; both expire
 * soon by the proxy's own clock. So the rule of QuotaSettings holds whatever fails, including doubled, frozen and cut-off proxies.
 */
#pragma once

#include "vanillahall/core/customer/quota_type.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Vanillahall::Forward {

/** Request for a permit. */
struct QuotaRequest
{
    std::string customer;       ///< Customer.
    CustomerLimit limit;        ///< Its limit.
    bool isInProgress = false;  ///< True if the request belongs to a program in progress.
    bool isRepeated = false;    ///< True if this request has called QuotaLedger::request() before.
    std::uint64_t spreadHash{}; ///< Hash of the program; spreads the retry delays of requests that are refused together.
    Duration timeLeft{};        ///< Remaining time of the request; clients wait for at most a third of it.
};

/** Permission to send one request. */
struct QuotaPermit
{
    std::optional<TimePoint> validUntil; ///< The request has to be sent before; nothing if the customer has no limit.
};

/** The request may be sent. */
struct QuotaGranted
{
    QuotaPermit permit;                ///< Permit.
    std::optional<QuotaWrite> renewal; ///< Write that renews the lease; the request doesn't wait for it.
};
/** The customer is over its limit. */
struct QuotaRefused
{
    Duration retryAfter{}; ///< Time until the pool holds a permit, spread.
};
/** A call is under way or has just failed; call request() again when it has ended, or a little later. */
struct QuotaBusy
{
};
/** The row must be written first; call request() again when the write has ended. */
struct QuotaNeedsWrite
{
    QuotaWrite write; ///< Write to do.
};
/** The row must be read first; call request() again when the read has ended. */
struct QuotaNeedsRead
{
};
using QuotaAnswer
    = std::variant<QuotaGranted, QuotaRefused, QuotaBusy, QuotaNeedsWrite, QuotaNeedsRead>; ///< Result of QuotaLedger::request().

/** Permits and shares of this proxy, by customer. Times are of CLOCK_BOOTTIME; `storeMs` is the estimated clock of the store. */
class QuotaLedger
{
public:
    /**
     * @param vm Name of this VM.
     * @param incarnation Unique for each start of the process; a predecessor that may still run keeps its share until the lease expires.
     */
    QuotaLedger(std::string vm, std::string incarnation, const QuotaSettings &settings = {});

    // Commands.

    /** Requests a permit. */
    QuotaAnswer request(const QuotaRequest &request, TimePoint now, std::uint64_t storeMs);
    /** Takes back a permit whose request never reached a server. */
    void takeBack(const std::string &customer, const QuotaPermit &permit, TimePoint now);
    /** Handles the end of a read. @param row The row; version 0 if there is none; nothing if the store didn't answer. */
    void onRowRead(const std::string &customer, const std::optional<QuotaRow> &row, TimePoint now);
    /** Handles the success of the write under way. @param version New version of the row. */
    void onWritten(const std::string &customer, std::uint64_t version, TimePoint now);
    /** Handles the write being refused because its condition didn't hold. @param row Current row; version 0 if there is none. */
    void onConflict(const std::string &customer, const QuotaRow &row, TimePoint now);
    /** Handles the write failing or having an unknown outcome. It isn't repeated: its permits may be lost. */
    void onWriteFailed(const std::string &customer, TimePoint now);
    /** Removes customers without requests for some time. */
    void removeIdle(TimePoint now);

    // Queries.

    /** @return Number of known customers. */
    [[nodiscard]] std::size_t size() const;
    /** @return Fraction of a customer's rate that this proxy holds. */
    [[nodiscard]] double share(const std::string &customer, TimePoint now) const;
    /** @return Number of customers of whose rate this proxy holds a share. */
    [[nodiscard]] std::size_t shareCount(TimePoint now) const;

private:
    /** Permits that were withdrawn together. */
    struct Hand
    {
        std::uint64_t permits{}; ///< Permits that are left.
        TimePoint validUntil{};  ///< End of their validity.
    };

    /** What a withdrawal leaves in the pool. */
    enum class Drain {
        None,  ///< Enough for the demand.
        Low,   ///< Only the reserve.
        Empty, ///< Nothing.
    };

    /** The write under way. */
    struct OpenWrite
    {
        QuotaWrite write;          ///< The write.
        std::uint64_t permits{};   ///< Permits that it withdraws.
        double share = 0;          ///< Share that it leases.
        TimePoint requestedAt{};   ///< When it was requested.
        Duration validity{};       ///< Validity of the permits, from then on.
        Drain drain = Drain::None; ///< What it leaves in the pool.
    };

    /** State of one customer. */
    struct Account
    {
        CustomerLimit limit;                                ///< Current limit.
        QuotaTerms terms;                                   ///< Terms of the limit.
        QuotaRow row;                                       ///< Last known row.
        bool isRowKnown = false;                            ///< True once the row was read or written.
        bool isRowShared = false;                           ///< True if another proxy has written the row since this one did.
        TimePoint rowKnownAt{};                             ///< When the row was last read or written.
        std::vector<Hand> hands;                            ///< Withdrawn permits.
        double share = 0;                                   ///< Leased share.
        double accumulated = 0;                             ///< Permits that the share has accumulated at `accumulatedAt`.
        TimePoint accumulatedAt{};                          ///< Time of `accumulated`.
        TimePoint leaseUntil{};                             ///< The share isn't used from this time on.
        TimePoint leaseRenewedAt{};                         ///< When the last successful renewal was requested.
        DecayingRate demand{std::chrono::seconds(2)};       ///< Demand for withdrawals.
        DecayingRate shareDemand{std::chrono::seconds(10)}; ///< Demand for the share.
        std::optional<OpenWrite> open;                      ///< The write under way.
        bool isReading = false;                             ///< True while a read is under way.
        std::uint64_t waiting{};                            ///< Requests that wait for the call under way.
        unsigned conflicts{};                               ///< Refused writes in a row.
        TimePoint emptyUntil{};                             ///< The pool counts as empty until this time.
        TimePoint lowUntil{};                               ///< The pool counts as not above its reserve until this time.
        TimePoint failedUntil{};                            ///< No call is made until this time.
        TimePoint lastUse{};                                ///< Time of the last request.
    };

    static void accumulate(Account &account, TimePoint now);
    static std::optional<QuotaPermit> takePermit(Account &account, TimePoint now);
    /** Replaces the known row. */
    static void updateRow(Account &account, QuotaRow row, TimePoint now);
    void applyLimit(Account &account, const CustomerLimit &limit, TimePoint now) const;
    std::optional<QuotaWrite> renewLease(const std::string &customer, Account &account, TimePoint now, std::uint64_t storeMs);
    QuotaWrite openWrite(const std::string &customer, Account &account, QuotaRow row, std::uint64_t permits, TimePoint now);
    [[nodiscard]] double nextShare(const Account &account, const QuotaRow &row, TimePoint now) const;
    [[nodiscard]] bool isOwn(const QuotaShare &share) const;

    std::string m_vm;
    std::string m_incarnation;
    QuotaSettings m_settings;
    std::uint64_t m_writes = 0;
    std::unordered_map<std::string, Account> m_accounts;
};

/** A proxy at an empty pool makes at most one call in this time, which bounds the calls for a customer far over its limit. */
inline constexpr Duration QuotaCallInterval = std::chrono::milliseconds(250);
/** Writes that are refused in a row before a pause. */
inline constexpr unsigned MaxQuotaConflicts = 3;
/** Pause after a failed call, or after too many refused writes. */
inline constexpr Duration QuotaFailurePause = std::chrono::milliseconds(20);

} // namespace Vanillahall::Forward
