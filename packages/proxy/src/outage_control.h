/**
 * Second shares of token budgets: this proxy as an owner, and as one that asks the owners.
 * Load pattern: the store stops answering, and from then on every turn without reserved tokens asks the owner of its program, over the
 * connections between proxies.
 */
#pragma once

#include "message_server.h"
#include "store_caller.h"

#include "vanillahall/core/budget/budget_owners_base.h"
#include "vanillahall/core/budget/obtained_grants_base.h"
#include "vanillahall/core/budget/outage_share_base.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace Vanillahall::Forward {

class ProxyState;

inline constexpr std::string_view OutageGrantPath = "/budget/grant";   ///< Path at which an owner grants tokens.
inline constexpr std::string_view OutageReportPath = "/budget/report"; ///< Path at which an owner is told that a turn has ended.
inline constexpr std::string_view ShareClosePath = "/budget/close";    ///< Path at which an owner closes the share of a program.
inline constexpr std::string_view ShareVersionsPath
    = "/budget/versions"; ///< Path at which an owner tells the versions at which streams of a program began.
inline constexpr std::string_view GrantWitnessPath = "/budget/witness";  ///< Path at which a proxy is told what another granted itself.
inline constexpr std::string_view GrantInquiryPath = "/budget/obtained"; ///< Path at which a proxy tells the grants that it knows.
inline constexpr std::string_view OwnerHelloPath = "/budget/hello";      ///< Path at which an owner is told that a proxy has started.
inline constexpr Duration OwnerCallTimeout
    = std::chrono::milliseconds(300); ///< An owner answers from memory; leaves time for another attempt.

/** Makes the calls for the second shares of token budgets. */
class OutageControl
{
public:
    /** Called with the owner's answer; nothing if there was none, and the tokens may be granted. */
    using GrantHandler = std::function<void(const std::string &owner, const std::optional<OutageAnswer> &answer)>;
    /** Called with the number of granted tokens; nothing if the share isn't closed, or the number isn't known. */
    using CloseHandler = std::function<void(std::optional<std::uint64_t> tokens)>;
    /** Called with the versions at which streams began; nothing if they aren't known. */
    using VersionsHandler = std::function<void(const std::optional<std::vector<SoftwareVersion>> &versions)>;

    explicit OutageControl(ProxyState &proxy);

    // Commands.

    /** Reads, claims and renews rows of owners, and repeats reports, as far as due. */
    void runPeriodicTasks();
    /** Gives up all partitions, because the process stops. */
    void giveUpAll();
    /** Asks the owner of a program for tokens. @return False if none is known; the handler isn't called then. */
    bool requestGrant(const OutageGrantRequest &request, GrantHandler handler);
    /** Reports the end of a granted turn to the proxy that granted it, repeatedly if it doesn't answer. */
    void report(const std::string &owner, const OutageReport &report);
    /** Asks the owner of a program to close its second share. */
    void close(const std::string &program, CloseHandler handler);
    /**
     * Finds out at which versions streams of a program began with tokens that an owner granted: from the owner, or, if it doesn't answer,
     * from its row in the store and the proxies that have obtained the grants.
     */
    void findVersions(const std::string &program, const VersionsHandler &handler);
    /** Answers a call of another proxy. @return False if the call isn't about second shares. */
    bool answerPeer(const MessageRequest &request, const MessageServer::Reply &answer);
    void setGauges();

    // Queries.

    /** @return True if budgets have a second share. */
    [[nodiscard]] bool isOn() const;
    /** @return True if this proxy has given up its partitions, or can't, and no report waits for its reply. */
    [[nodiscard]] bool isStopped() const;
    /** @return New name for an attempt of a turn. */
    [[nodiscard]] std::string nextTurn();

private:
    /** Report that wasn't confirmed yet. */
    struct PendingReport
    {
        std::string owner;
        OutageReport report;
        TimePoint madeAt{};
        TimePoint sentAt{};
    };

    /** Partitions of a lost owner, and the proxies that are asked about them. */
    struct OpenInquiry
    {
        GrantInquiry inquiry;
        TimePoint nextRoundAt{};
        TimePoint endsAt{}; ///< From then on, former grants don't matter any more.
    };

    /** Question for the versions of a program's streams that its owner hasn't answered. */
    struct VersionSearch
    {
        std::string program;
        std::string askedOwner; ///< Proxy that hasn't answered; empty if none was known.
        VersionsHandler handler;
    };

    /** Searches whose owner is lost, and the proxies that are asked instead. */
    struct VersionInquiry
    {
        GrantInquiry inquiry;
        std::vector<VersionSearch> searches;
        std::vector<OutageTurnRecord> turns; ///< Grants that are known so far.
        std::size_t waiting = 0;             ///< Number of proxies that haven't replied.
    };

    /** @return Rows; one that can't be decoded counts as that of an unknown owner, which may still grant. */
    std::vector<BudgetOwnerRow> decodeOwners(const std::vector<Platform::StoreRow> &rows);
    void readOwners();
    /** Reads the owners again before their time, because one that is asked isn't the owner any more. */
    void readSoon();
    void writeOwners();
    void onOwnersWritten(const std::vector<BudgetOwnerRow> &rows, const std::optional<StoreReply> &reply, const Error &reason);
    /** Calls an owner. @return False if its address isn't known. */
    bool callOwner(const std::string &owner, std::string_view path, std::string body, const StoreCaller::Handler &handler);
    /** Tells the owners that this process has started. */
    void greetOwners();
    /** Handles the start of another proxy. @param name Name of its VM. */
    void handleGreeting(const std::string &name);
    /** Renews the own partitions if proxies have started since the last time. */
    void renewForGreetings();
    /** Starts inquiries about claimed partitions whose former owner was lost. */
    void handleClaims();
    void startInquiries(std::vector<ClaimedPartition> claims, const std::vector<std::string> &members);
    /** Asks the proxies that haven't replied, and ends inquiries. */
    void continueInquiries();
    void ask(const std::shared_ptr<OpenInquiry> &open, const std::string &member);
    void applyTestimony(OpenInquiry &open, const std::string &member, const GrantTestimony &testimony);
    /** Makes a grant to this proxy known to another one. @param known Called with false if there is none. */
    void findWitness(const OutageGrantRequest &request, unsigned attempts, const std::function<void(bool isKnown)> &known);
    void sendReport(PendingReport &pending);
    void repeatReports();
    OutageAnswer grant(const OutageGrantRequest &request);
    [[nodiscard]] std::optional<std::vector<SoftwareVersion>> ownVersions(const std::string &program) const;
    /** Asks an owner. @param handler Called with nothing if it doesn't answer. */
    void askVersions(const std::string &owner, const std::string &program, const VersionsHandler &handler);
    /** Ends a search. @param why Reason if the versions aren't known. */
    void endSearch(const VersionSearch &search, const std::optional<std::vector<SoftwareVersion>> &versions, const std::string &why);
    /** Reads the owners and the proxies from the store for all searches that wait for it. */
    void continueSearches();
    void
    onOwnersSearched(std::vector<VersionSearch> searches, const std::vector<BudgetOwnerRow> &rows, const std::vector<ProxyMember> &members);
    /** Asks the proxies that may have obtained grants of a lost owner. */
    void inquireVersions(const std::string &owner,
                         std::vector<VersionSearch> searches,
                         std::vector<ClaimedPartition> partitions,
                         const std::vector<ProxyMember> &members);
    void onVersionTestimony(VersionInquiry &open, const std::string &member, const std::optional<GrantTestimony> &testimony);
    void logOwned();

    ProxyState &m_proxy; ///< The proxy; owns this object.
    BudgetOwners m_owners;
    OutageShare m_share;
    ObtainedGrants m_obtained;
    std::vector<ClaimedPartition> m_lost; ///< Claimed partitions whose former owner was lost, before their inquiry.
    std::vector<std::shared_ptr<OpenInquiry>> m_inquiries;
    std::vector<VersionSearch> m_searches;                    ///< Searches that wait for the next read of the store.
    std::unordered_map<std::string, PendingReport> m_reports; ///< Reports by turn.
    std::optional<TimePoint> m_startedAt;                     ///< Time of the first runPeriodicTasks().
    TimePoint m_readAt{};                                     ///< When the owners were last read.
    TimePoint m_nextReadAt{};
    TimePoint m_nextCleanAt{};
    std::size_t m_loggedOwned = 0; ///< Number of own partitions that was logged last.
    std::uint64_t m_turns = 0;     ///< Number of calls of nextTurn().
    std::uint64_t m_nextWitness = 0;
    std::set<std::string> m_greeted; ///< Owners that know that this process has started.
    TimePoint m_nextGreetingAt{};
    TimePoint m_nextGreetedRenewalAt{};
    TimePoint m_nextMemberReadAt{};
    bool m_isGreeted = false; ///< True if a proxy has started since the last renewal for that reason.
    bool m_isReading = false;
    bool m_isReadingMembers = false;
    bool m_isSearching = false;
    bool m_isStopping = false;
};

} // namespace Vanillahall::Forward
