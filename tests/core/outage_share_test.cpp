/** Shares of token budgets: who owns a partition, what an owner grants, and both together with the rows over random interleavings. */
#include "vanillahall/core/budget/obtained_grants_base.h"
#include "vanillahall/core/token_ledger_base.h"

#include <map>
#include <memory>
#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};
constexpr std::uint64_t Most = 100;
constexpr std::uint32_t Half = 50;

/** Model of the store: rows of owners and of programs, written only on condition of their versions. */
struct StoreRows
{
    std::map<std::uint32_t, BudgetOwnerRow> owners;
    std::map<std::string, TokenRow> tokens;
    std::uint64_t counter = 0;

    /** @return New version, or nothing if a condition doesn't hold. */
    std::optional<std::uint64_t> write(const std::vector<BudgetOwnerRow> &rows)
    {
        for (const auto &it : rows) {
            if (owners[it.partition].version != it.version) {
                return std::nullopt;
            }
        }
        counter++;
        for (const auto &it : rows) {
            owners[it.partition] = it;
            owners[it.partition].version = counter;
        }
        return counter;
    }

    std::optional<std::uint64_t> write(const TokenWrite &write)
    {
        auto &row = tokens[write.program];
        if (row.version != write.row.version) {
            return std::nullopt;
        }
        row = write.row;
        row.version = ++counter;
        return row.version;
    }

    std::vector<BudgetOwnerRow> ownerRows() const
    {
        std::vector<BudgetOwnerRow> list;
        for (const auto &[partition, row] : owners) {
            if (row.version != 0) {
                list.push_back(row);
            }
        }
        return list;
    }
};

/** What happens to a call. */
enum class Fate { Done, ReplyLost, Late, Failed };

/** One proxy. */
struct ModelProxy
{
    ModelProxy(const std::string &vm, int incarnation)
        : name(vm)
        , owners(vm, std::to_string(incarnation), Half)
        , share(Half)
        , ledger(vm + "/" + std::to_string(incarnation), {}, Half)
    {
    }

    std::string name;
    BudgetOwners owners;
    OutageShare share;
    TokenLedger ledger;
    ObtainedGrants obtained;
    std::vector<ClaimedPartition> lost; ///< Claimed partitions whose former grants aren't known.
};

struct ModelTurn
{
    std::string program;
    std::size_t proxy{};
    int incarnation{};
    std::string owner; ///< Empty if the row granted the tokens.
    std::string name;
    TimePoint endsBy{};    ///< Time limit of the turn.
    bool isCounted = true; ///< False if the proxy was killed; its tokens count as delivered.
};

/** Reply of an owner that has granted tokens. */
struct ReplyUnderWay
{
    std::size_t proxy{};
    int incarnation{};
    std::string owner;
    OutageGrantRequest request;
    TimePoint askedAt{};
};

/** Proxies, one store and programs that last for at most OutageShareQuarantine, driven by random steps. */
class ShareModel
{
public:
    explicit ShareModel(unsigned seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < Proxies; n++) {
            m_incarnations.push_back(0);
            m_proxies.push_back(std::make_unique<ModelProxy>("e" + std::to_string(n), 0));
        }
        beginProgram();
    }

    void step()
    {
        const auto n = pick(Proxies);
        m_now += 10ms; // No two requests arrive at the same time.
        switch (pick(16)) {
        case 0:
            m_now += std::chrono::seconds(pick(4) == 0 ? 66 : 7);
            break;
        case 1:
            m_now += 300ms;
            break;
        case 2:
        case 3:
        case 4:
            runOwner(n, pickFate());
            break;
        case 5:
        case 6:
        case 7:
            requestFromOwner(n);
            break;
        case 8:
        case 9:
        case 10:
            requestFromRow(n);
            break;
        case 11:
        case 12:
            endTurn();
            break;
        case 13:
            executeLateWrite();
            deliverReply();
            break;
        case 14:
            if (pick(6) == 0) {
                restart(n, pick(2) == 0);
            }
            break;
        default:
            if (pick(8) == 0) {
                beginProgram();
            }
        }
        const auto &row = m_rows.tokens[m_program];
        if (!row.outageTokens && row.outstanding() > m_budget - secondShare(m_budget, Half) + Most && failure.empty()) {
            failure = m_program + ": the row holds more than the first share and one turn";
        }
        if (m_now - m_programBegan >= OutageShareQuarantine) {
            beginProgram();
        }
    }

    std::string failure;            ///< First violation; empty if there is none.
    std::size_t grants = 0;         ///< Turns granted by owners.
    std::size_t closings = 0;       ///< Closed shares.
    std::size_t inquiries = 0;      ///< Partitions of lost owners whose grants became known.
    std::size_t refusals = 0;       ///< Turns refused because the budget is spent.
    std::size_t strictRefusals = 0; ///< The same, of programs of which no tokens were lost.

private:
    static constexpr std::size_t Proxies = 3;

    std::size_t pick(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    Fate pickFate()
    {
        const auto n = pick(8);
        return n < 5 ? Fate::Done : static_cast<Fate>(n - 4);
    }

    void beginProgram()
    {
        m_program = "p" + std::to_string(++m_programs);
        m_budget = Most * (pick(5) == 0 ? 1 : 2 + pick(6));
        m_delivered = 0;
        m_hasLoss = false;
        m_turns.clear();
        m_programBegan = m_now;
        m_isPlain = pick(2) == 0;
    }

    /** @return Tokens delivered, turns in progress at their maximum. */
    std::uint64_t used() const
    {
        return m_delivered + Most * m_turns.size();
    }

    void onGranted(ModelTurn turn)
    {
        m_turns.push_back(std::move(turn));
        if (used() > m_budget + Most && failure.empty()) {
            failure = m_program + ": " + std::to_string(used()) + " tokens of " + std::to_string(m_budget);
        }
    }

    /** Reads the rows, and does the next write of an owner. Lists of live proxies may differ, so each proxy takes itself as preferred. */
    void runOwner(std::size_t n, Fate fate)
    {
        auto &owners = m_proxies[n]->owners;
        inquire(n);
        const bool readsOnly = pick(4) == 0; // Others write between its read and its next write.
        if (readsOnly || (fate != Fate::Failed && pick(2) == 0)) {
            m_proxies[n]->obtained.recordVersion(m_rows.counter);
            owners.onRowsRead(m_rows.ownerRows(), m_now);
        }
        if (readsOnly) {
            return;
        }
        for (int round = 0; round < 3; round++) {
            std::vector<std::string> live{m_proxies[n]->name};
            if (pick(3) != 0) {
                live.push_back(m_proxies[(n + 1) % Proxies]->name);
            }
            const auto rows = owners.beginWrite(live, m_proxies[n]->share, m_now);
            if (rows.empty()) {
                return;
            }
            if (fate == Fate::Done || fate == Fate::ReplyLost) {
                const auto version = m_rows.write(rows);
                if (fate == Fate::ReplyLost) {
                    owners.onWriteFailed();
                } else if (version) {
                    owners.onWritten(*version, m_now);
                } else {
                    owners.onConflict(m_rows.ownerRows(), m_now);
                }
            } else {
                owners.onWriteFailed();
                if (fate == Fate::Late) {
                    m_lateOwners.push_back(rows);
                }
            }
        }
    }

    /** Learns the grants of former owners, as far as the other proxies reply. */
    void inquire(std::size_t n)
    {
        auto &proxy = *m_proxies[n];
        for (auto &it : proxy.owners.takeClaims()) {
            const bool isAdopted = proxy.share.adopt(it.formerLedger.turns, m_now);
            if (isAdopted && it.areGrantsKnown) {
                proxy.owners.recordGrantsKnown(it);
            } else if (isAdopted && it.formerLedger.isComplete && it.formerLedger.hasWitnesses) {
                proxy.lost.push_back(std::move(it));
            }
        }
        for (const auto &claim : std::exchange(proxy.lost, {})) {
            std::vector<std::string> members;
            for (const auto &it : m_proxies) {
                if (it->name != claim.formerOwner) {
                    members.push_back(it->name);
                }
            }
            GrantInquiry inquiry({claim}, members);
            for (const auto &it : m_proxies) {
                const bool isAsked = it->name != claim.formerOwner && pick(8) != 0;
                const auto testimony = isAsked ? it->obtained.testify(inquiry.partitions(), m_now) : std::nullopt;
                if (testimony && proxy.share.adopt(testimony->turns, m_now)) {
                    inquiry.onTestimony(it->name, testimony->since);
                }
            }
            for (const auto &it : inquiry.settled()) {
                proxy.owners.recordGrantsKnown(it);
                inquiries++;
            }
            if (!inquiry.waiting().empty()) {
                proxy.lost.push_back(claim);
            }
        }
    }

    ModelProxy *ownerAt(std::size_t n)
    {
        const auto name = m_proxies[n]->owners.owner(budgetPartition(m_program));
        return name.empty() ? nullptr : m_proxies[static_cast<std::size_t>(name.at(1) - '0')].get();
    }

    void requestFromOwner(std::size_t n)
    {
        auto *owner = ownerAt(n);
        if (owner == nullptr || m_proxies[n]->ledger.row(m_program).outageTokens) {
            return;
        }
        const OutageGrantRequest request{m_program, std::to_string(++m_names), m_budget, Most, 10s};
        const auto answer = grantAsOwner(owner->owners, owner->share, request, m_now);
        if (!std::holds_alternative<OutageGranted>(answer)) {
            return;
        }
        grants++;
        if (pick(6) == 0 && owner->name != m_proxies[n]->name && !m_isPlain) {
            m_hasLoss = true; // The reply may come too late to be used.
            m_replies.push_back({n, m_incarnations[n], owner->name, request, m_now});
            return;
        }
        if (owner->name != m_proxies[n]->name) {
            m_proxies[n]->obtained.add(request, m_now);
        } else if (owner->owners.needsWitness(budgetPartition(m_program))) {
            m_proxies[(n + 1 + pick(Proxies - 1)) % Proxies]->obtained.add(request, m_now);
        }
        if (pick(8) == 0 && !m_isPlain) {
            m_hasLoss = true; // The reply is lost, and the report that the tokens aren't used, too.
            return;
        }
        // A repeated request gets the same reply and counts once.
        if (!std::holds_alternative<OutageGranted>(grantAsOwner(owner->owners, owner->share, request, m_now)) && failure.empty()) {
            failure = "a repeated request was refused";
        }
        onGranted({m_program, n, m_incarnations[n], owner->name, request.turn, m_now + request.timeLeft});
    }

    /** Delivers a reply with granted tokens that was under way. */
    void deliverReply()
    {
        if (m_replies.empty()) {
            return;
        }
        const auto at = pick(m_replies.size());
        const auto reply = m_replies[at];
        m_replies.erase(m_replies.begin() + static_cast<std::ptrdiff_t>(at));
        if (reply.incarnation != m_incarnations[reply.proxy] || reply.request.program != m_program) {
            return;
        }
        auto &proxy = *m_proxies[reply.proxy];
        if (proxy.obtained.isFenced(budgetPartition(m_program), reply.askedAt) || m_now - reply.askedAt > 600ms) {
            m_hasLoss = true;
            return;
        }
        proxy.obtained.add(reply.request, m_now);
        onGranted({m_program, reply.proxy, reply.incarnation, reply.owner, reply.request.turn, reply.askedAt + reply.request.timeLeft});
    }

    /** @return False if the turn can't go on now. */
    bool closeShare(std::size_t n)
    {
        auto *owner = ownerAt(n);
        std::optional<std::uint64_t> tokens;
        if (owner != nullptr) {
            const auto answer = closeAsOwner(owner->owners, owner->share, m_program, m_now);
            if (const auto *closed = std::get_if<OutageClosed>(&answer)) {
                tokens = closed->tokens;
                closings++;
            }
        }
        m_proxies[n]->ledger.onShareClosed(m_program, tokens, m_now);
        return tokens.has_value();
    }

    void returnTokens(std::size_t asking)
    {
        for (std::size_t n = 0; n < Proxies; n++) {
            for (int round = 0; n != asking && round < 3; round++) {
                const auto write = m_proxies[n]->ledger.beginReturn(m_program, m_now);
                if (write) {
                    finish(n, *write, Fate::Done);
                }
            }
        }
        m_proxies[asking]->ledger.onReturnsRequested(m_program, true, true);
    }

    void finish(std::size_t n, const TokenWrite &write, Fate fate)
    {
        auto &ledger = m_proxies[n]->ledger;
        if (fate == Fate::Done || fate == Fate::ReplyLost) {
            const auto version = m_rows.write(write);
            if (fate == Fate::ReplyLost) {
                ledger.onWriteFailed(m_program);
            } else if (version) {
                ledger.onWritten(m_program, *version);
            } else {
                ledger.onConflict(m_program, m_rows.tokens[m_program]);
            }
            return;
        }
        ledger.onWriteFailed(m_program);
        if (fate == Fate::Late) {
            m_lateTokens.push_back(write);
        }
    }

    void requestFromRow(std::size_t n)
    {
        auto &ledger = m_proxies[n]->ledger;
        const TokenRequest request{m_program, m_budget, Most, false, std::nullopt, {}, m_now};
        for (int round = 0; round < 10; round++) {
            const auto answer = ledger.reserve(request, m_now);
            const auto fate = m_isPlain ? Fate::Done : pickFate();
            if (std::holds_alternative<TokenGranted>(answer)) {
                onGranted({m_program, n, m_incarnations[n], {}, {}, {}});
                return;
            }
            if (const auto *needed = std::get_if<TokenNeedsWrite>(&answer)) {
                finish(n, needed->write, fate);
                if (fate != Fate::Done) {
                    return;
                }
            } else if (std::holds_alternative<TokenNeedsRead>(answer)) {
                ledger.onRowRead(m_program, m_rows.tokens[m_program], m_now);
            } else if (std::holds_alternative<TokenNeedsReturns>(answer)) {
                returnTokens(n);
            } else if (std::holds_alternative<TokenNeedsClosing>(answer)) {
                if (!closeShare(n)) {
                    return;
                }
            } else if (std::holds_alternative<TokenBudgetExhausted>(answer)) {
                refusals++;
                strictRefusals += m_hasLoss ? 0 : 1;
                if (!m_hasLoss && used() + Most <= m_budget && failure.empty()) {
                    failure = m_program + " refused at " + std::to_string(used()) + " of " + std::to_string(m_budget);
                }
                return;
            } else {
                return;
            }
        }
    }

    void endTurn()
    {
        if (m_turns.empty()) {
            return;
        }
        const auto at = pick(m_turns.size());
        const auto turn = m_turns[at];
        if (!turn.isCounted) {
            return;
        }
        m_turns.erase(m_turns.begin() + static_cast<std::ptrdiff_t>(at));
        const std::uint64_t tokens = pick(3) * Most / 2;
        m_delivered += tokens;
        if (turn.owner.empty()) {
            m_proxies[turn.proxy]->ledger.settle(m_program, Most, tokens, m_now);
            return;
        }
        if (m_now > turn.endsBy) {
            m_hasLoss = true; // The report comes too late to count for certain.
        }
        if (pick(6) == 0 && !m_isPlain) {
            m_hasLoss = true; // The report is lost.
            return;
        }
        auto &owner = *m_proxies[static_cast<std::size_t>(turn.owner.at(1) - '0')];
        owner.share.report({m_program, turn.name, tokens}, m_now);
        owner.share.report({m_program, turn.name, 0}, m_now);
    }

    void executeLateWrite()
    {
        if (!m_lateOwners.empty()) {
            m_rows.write(m_lateOwners.back());
            m_lateOwners.pop_back();
        }
        if (!m_lateTokens.empty()) {
            m_rows.write(m_lateTokens.back());
            m_lateTokens.pop_back();
        }
    }

    void restart(std::size_t n, bool isOrderly)
    {
        if (isOrderly) {
            m_proxies[n]->owners.giveUpAll();
            runOwner(n, Fate::Done);
        }
        // Tokens of its turns in progress may be delivered, and those it holds are lost.
        for (auto &it : m_turns) {
            it.isCounted = it.isCounted && it.proxy != n;
        }
        m_hasLoss = true;
        m_proxies[n] = std::make_unique<ModelProxy>(m_proxies[n]->name, ++m_incarnations[n]);
        m_proxies[n]->obtained.recordVersion(m_rows.counter);
        for (const auto &it : m_proxies) {
            if (pick(4) != 0) {
                it->owners.renewSoon();
            }
        }
    }

    std::mt19937 m_random;
    TimePoint m_now = Start;
    StoreRows m_rows;
    std::vector<std::unique_ptr<ModelProxy>> m_proxies;
    std::vector<int> m_incarnations;
    std::vector<std::vector<BudgetOwnerRow>> m_lateOwners;
    std::vector<TokenWrite> m_lateTokens;
    std::vector<ReplyUnderWay> m_replies;
    std::string m_program;
    std::uint64_t m_budget = 0;
    std::uint64_t m_delivered = 0;
    bool m_hasLoss = false; ///< True if tokens of the program were lost, so that it may be refused early.
    bool m_isPlain = false; ///< True if no call about the program's tokens fails or loses its reply.
    std::vector<ModelTurn> m_turns;
    TimePoint m_programBegan{};
    std::uint64_t m_programs = 0;
    std::uint64_t m_names = 0;
};

} // namespace

/** How a partition changes hands, as seen by the next owner. */
struct HandOverCase
{
    const char *name;    ///< For the test's name.
    bool isGivenUp;      ///< True if the former owner has stopped in order.
    Duration sinceUse;   ///< Time from its last grant to its end.
    Duration claimAfter; ///< Time from the first read of its last row to the earliest claim.
    OwnerRight right;    ///< What the next owner may do at first.
};

class BudgetHandOver : public ::testing::TestWithParam<HandOverCase>
{
};

// Two proxies granted from the same share, each of them rightly by its own clock.
TEST_P(BudgetHandOver, IsAfterTheLeaseAndTheQuarantine)
{
    const auto &param = GetParam();
    StoreRows rows;
    BudgetOwners first("a", "1", Half);
    BudgetOwners second("b", "1", Half);
    const OutageShare share(Half);
    const auto write = [&rows, &share](BudgetOwners &owners, const std::string &name, TimePoint now) {
        const auto wanted = owners.beginWrite({name}, share, now);
        const auto version = wanted.empty() ? std::nullopt : rows.write(wanted);
        if (version) {
            owners.onWritten(*version, now);
        } else if (!wanted.empty()) {
            owners.onConflict(rows.ownerRows(), now);
        }
        return !wanted.empty();
    };
    first.onRowsRead({}, Start);
    while (write(first, "a", Start)) { }
    EXPECT_EQ(first.ownedCount(), BudgetPartitions);
    EXPECT_EQ(first.right(7, Start + BudgetLease - 1us), OwnerRight::Full);
    EXPECT_EQ(first.right(7, Start + BudgetLease), OwnerRight::None);
    first.recordUse(7, Start);
    const auto end = Start + param.sinceUse;
    while (write(first, "a", end)) { }
    EXPECT_EQ(first.right(7, end), OwnerRight::Full);
    if (param.isGivenUp) {
        first.giveUpAll();
        // The reply is lost, and another proxy may own the partition from now on.
        ASSERT_TRUE(rows.write(first.beginWrite({"a"}, share, end)));
        first.onWriteFailed();
        EXPECT_EQ(first.right(7, end), OwnerRight::None);
        while (write(first, "a", end)) { }
        EXPECT_EQ(first.right(7, end), OwnerRight::None);
    }
    const auto seenAt = end + 1s;
    second.onRowsRead(rows.ownerRows(), seenAt);
    const auto claimAt = seenAt + param.claimAfter;
    EXPECT_FALSE(param.claimAfter != Duration::zero() && write(second, "b", claimAt - 1us));
    EXPECT_TRUE(write(second, "b", claimAt));
    while (write(second, "b", claimAt)) { }
    for (const auto &it : second.takeClaims()) {
        EXPECT_EQ(it.formerOwner, param.isGivenUp ? "" : "a");
        EXPECT_EQ(it.formerLedger.isComplete, true);
        if (it.areGrantsKnown) {
            second.recordGrantsKnown(it);
        }
    }
    EXPECT_EQ(second.right(7, claimAt), param.right);
    EXPECT_EQ(second.right(7, claimAt + BudgetLease), OwnerRight::None);
    // A process that starts again under the same name isn't the owner. It may claim at once, and doesn't know the grants of the former one.
    BudgetOwners restarted("b", "2", Half);
    restarted.onRowsRead(rows.ownerRows(), claimAt);
    EXPECT_EQ(restarted.right(7, claimAt), OwnerRight::None);
    EXPECT_TRUE(write(restarted, "b", claimAt));
    while (write(restarted, "b", claimAt)) { }
    EXPECT_EQ(restarted.right(7, claimAt), OwnerRight::Quarantined);
    EXPECT_EQ(restarted.right(7, claimAt + OutageShareQuarantine - 1us), OwnerRight::None);
    EXPECT_EQ(second.right(7, claimAt), param.right);
    second.onRowsRead(rows.ownerRows(), claimAt);
    EXPECT_EQ(second.right(7, claimAt), OwnerRight::None);
    // Nor does a proxy with a share of another size claim or ask.
    BudgetOwners other("c", "1", Half / 2);
    other.onRowsRead(rows.ownerRows(), claimAt);
    EXPECT_EQ(other.owner(7), "");
    EXPECT_FALSE(write(other, "c", claimAt + BudgetTakeoverTime + OutageShareQuarantine - 1us));
}

INSTANTIATE_TEST_SUITE_P(All,
                         BudgetHandOver,
                         ::testing::Values(HandOverCase{"lost", false, 10s, BudgetTakeoverTime, OwnerRight::Quarantined},
                                           HandOverCase{
                                               "lostLongAfterItsLastGrant", false, 500s, BudgetTakeoverTime, OwnerRight::Quarantined},
                                           HandOverCase{"stoppedAfterAGrant", true, OutageShareQuarantine - 1us, {}, OwnerRight::Settled},
                                           HandOverCase{"stoppedClean", true, OutageShareQuarantine, {}, OwnerRight::Full}),
                         [](const auto &it) {
                             return it.param.name;
                         });

// A renewal whose reply was lost counted from its repetition, when others had seen it for long.
TEST(BudgetOwners, AWriteCountsFromItsFirstAttempt)
{
    StoreRows rows;
    BudgetOwners owners("a", "1", Half);
    const OutageShare share(Half);
    owners.onRowsRead({}, Start);
    for (auto wanted = owners.beginWrite({"a"}, share, Start); !wanted.empty(); wanted = owners.beginWrite({"a"}, share, Start)) {
        owners.onWritten(*rows.write(wanted), Start);
    }
    const auto renewedAt = Start + BudgetRenewInterval;
    ASSERT_TRUE(rows.write(owners.beginWrite({"a"}, share, renewedAt)));
    owners.onWriteFailed();
    const auto repeatedAt = renewedAt + 40s;
    EXPECT_FALSE(rows.write(owners.beginWrite({"a"}, share, repeatedAt)));
    owners.onConflict(rows.ownerRows(), repeatedAt);
    EXPECT_EQ(owners.right(0, renewedAt + BudgetLease - 1us), OwnerRight::Full);
    EXPECT_EQ(owners.right(0, renewedAt + BudgetLease), OwnerRight::None);
}

// A turn in progress was counted with what it had used so far, and the program got the rest twice.
TEST(OutageShare, IsClosedOnceItsTurnsHaveEnded)
{
    OutageShare share(Half);
    const auto close = [&share](OwnerRight right, TimePoint now) {
        const auto answer = share.close("p", right, now);
        const auto *closed = std::get_if<OutageClosed>(&answer);
        return closed != nullptr ? static_cast<int>(closed->tokens) : -1;
    };
    EXPECT_TRUE(std::holds_alternative<OutageGranted>(share.grant({"p", "t1", 600, Most, 5s}, OwnerRight::Full, Start)));
    EXPECT_TRUE(std::holds_alternative<OutageGranted>(share.grant({"p", "t2", 600, Most, 5s}, OwnerRight::Full, Start)));
    // A report that overtakes its request: the grant isn't used.
    share.report({"p", "t3", 0}, Start);
    EXPECT_TRUE(std::holds_alternative<OutageShareSpent>(share.grant({"p", "t3", 600, Most, 5s}, OwnerRight::Full, Start)));
    share.report({"p", "t1", 30}, Start);
    EXPECT_EQ(close(OwnerRight::Full, Start), -1);
    EXPECT_TRUE(std::holds_alternative<OutageShareSpent>(share.grant({"p", "t4", 600, Most, 5s}, OwnerRight::Full, Start)));
    const auto ended = Start + 5s + OutageReportGrace;
    EXPECT_EQ(close(OwnerRight::Full, ended - 1us), -1);
    EXPECT_EQ(close(OwnerRight::Quarantined, ended), -1);
    EXPECT_EQ(close(OwnerRight::None, ended), -1);
    EXPECT_EQ(close(OwnerRight::Full, ended), 130);
    EXPECT_EQ(share.streamVersions("p", OwnerRight::Quarantined), std::nullopt);
}

// A reply under way when a successor asked was used afterwards, and the successor didn't count its tokens.
TEST(ObtainedGrants, WhatWasRequestedBeforeATestimonyIsNotUsedAfterIt)
{
    ObtainedGrants grants;
    EXPECT_FALSE(grants.testify({3}, Start));
    grants.recordVersion(5);
    grants.recordVersion(9);
    grants.add({"p", "t", 600, Most, 5s}, Start);
    const auto testimony = grants.testify({budgetPartition("p")}, Start + 1s);
    ASSERT_TRUE(testimony);
    EXPECT_EQ(testimony->since, 5U);
    ASSERT_EQ(testimony->turns.size(), 1U);
    EXPECT_EQ(testimony->turns[0].timeLeft, 4s + OutageReportGrace);
    EXPECT_TRUE(grants.isFenced(budgetPartition("p"), Start + 1s));
    EXPECT_FALSE(grants.isFenced(budgetPartition("p"), Start + 1s + 1us));
    EXPECT_FALSE(grants.isFenced((budgetPartition("p") + 1) % BudgetPartitions, Start));
}

// Both shares together gave a program more than its budget and one turn, or a program was refused although its budget held a turn.
TEST(OutageShareProperty, NoInterleavingExceedsTheBudgetOrRefusesInsideIt)
{
    std::size_t grants = 0;
    std::size_t closings = 0;
    std::size_t strictRefusals = 0;
    std::size_t inquiries = 0;
    for (unsigned seed = 0; seed < 1500; seed++) {
        ShareModel model(seed);
        for (int n = 0; n < 300 && model.failure.empty(); n++) {
            model.step();
        }
        ASSERT_EQ(model.failure, "") << "seed " << seed;
        grants += model.grants;
        closings += model.closings;
        strictRefusals += model.strictRefusals;
        inquiries += model.inquiries;
    }
    // The walks reach what they are to check.
    EXPECT_GT(grants, 1000U);
    EXPECT_GT(closings, 1000U);
    EXPECT_GT(strictRefusals, 100U);
    EXPECT_GT(inquiries, 100U);
}

} // namespace Vanillahall::Forward
