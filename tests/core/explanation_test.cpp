/** Explanations and previews against the decisions that follow them, over random states with fixed seeds. */
#include "vanillahall/core/admission/program_admission_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"
#include "vanillahall/core/server_registry_base.h"
#include "vanillahall/core/token_ledger_base.h"

#include <random>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

/** Random numbers of one case. */
class Dice
{
public:
    explicit Dice(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /** @return Number below n. */
    std::uint32_t below(std::uint32_t n)
    {
        return static_cast<std::uint32_t>(m_engine() % n);
    }
    bool isHit(std::uint32_t oneIn)
    {
        return below(oneIn) == 0;
    }
    std::string name(const char *prefix, std::uint32_t n)
    {
        return prefix + std::to_string(below(n));
    }

private:
    std::mt19937_64 m_engine;
};

double sum(const ChoiceTerms &it)
{
    return it.waitMs + it.prefillMs + it.loadMs + it.zoneMs + it.penaltyMs + it.runMs - it.savedMs - it.homeMs + it.spreadMs;
}

/** A list of servers. */
struct ChoiceCase
{
    std::uint64_t seed;
    std::uint32_t servers; ///< Servers of the service; those of large services are drawn by an index.
    Placement placement;
};

struct ExplainedChoice : ::testing::TestWithParam<ChoiceCase>
{
    /** Makes the registry learn something random. */
    void step()
    {
        const auto id = dice.name("s", GetParam().servers);
        now += std::chrono::milliseconds(dice.below(200));
        const auto turn = attributes();
        switch (dice.below(8)) {
        case 0:
            registry.recordFailure(id, now);
            break;
        case 1:
            registry.recordLoad(id, {dice.below(9), dice.below(4), 8, 1.0 + dice.below(3)}, now);
            break;
        case 2:
            registry.recordRateLimit(id, dice.isHit(2) ? std::optional<double>(1.0 + dice.below(20)) : std::nullopt, now, now);
            break;
        case 3:
            if (dice.isHit(20)) {
                registry.recordLeaving(id);
            }
            break;
        case 4:
            if (!open.empty()) {
                registry.recordEnd(open.front().first, {open.front().second, now, 9, true}, now);
                open.erase(open.begin());
            }
            break;
        default:
            if (const auto choice = registry.choose(request(turn), now)) {
                registry.recordStart(*choice, turn, now);
                if (dice.isHit(3)) {
                    open.emplace_back(*choice, now);
                } else {
                    const AttemptTimes times{now, now + 20ms, 5, true};
                    registry.recordEnd(*choice, times, now + 200ms);
                }
            }
        }
    }
    RequestAttributes attributes()
    {
        RequestAttributes turn;
        turn.requestId = dice.name("r", 1000);
        if (!dice.isHit(4)) {
            turn.program = dice.name("p", 20);
            turn.promptParts = {{dice.below(20) + 1, 200}, {dice.below(50) + 100, 1 + dice.below(3000)}};
            turn.promptTokens = turn.promptParts[0].tokens + turn.promptParts[1].tokens;
            turn.maxGenerated = 100;
        }
        turn.object = dice.isHit(3) ? dice.name("o", 10) : std::string();
        return turn;
    }
    ChoiceRequest request(const RequestAttributes &turn) const
    {
        ChoiceRequest wanted{"svc", &turn, 16, &avoided, {}};
        wanted.route = "route";
        wanted.isSticky = true;
        return wanted;
    }

    Dice dice{GetParam().seed};
    TimePoint now = Start;
    std::set<std::string> avoided;
    std::vector<std::pair<Choice, TimePoint>> open; ///< Attempts that stay open.
    ServerRegistry registry{"z1", {GetParam().placement}};
};

} // namespace

// Guards against an explanation that names another server than the one that is chosen, or terms that don't add up to its weight.
TEST_P(ExplainedChoice, IsTheChoice)
{
    std::vector<Server> list;
    for (std::uint32_t n = 0; n < GetParam().servers; n++) {
        Server server;
        server.id = "s" + std::to_string(n);
        server.service = "svc";
        server.zone = dice.name("z", 3);
        server.slots = 1 + dice.below(8);
        list.push_back(server);
    }
    registry.update(list, false, now);
    std::size_t chosen = 0;
    for (int n = 0; n < 600; n++) {
        step();
        avoided.clear();
        for (auto left = dice.isHit(3) ? dice.below(GetParam().servers + 1) : 0; left > 0; left--) {
            avoided.insert(dice.name("s", GetParam().servers));
        }
        const auto turn = attributes();
        const auto explanation = registry.explain(request(turn), now);
        const auto choice = registry.choose(request(turn), now);
        ASSERT_EQ(explanation.chosen.has_value(), choice.has_value());
        ASSERT_FALSE(explanation.reason.empty());
        std::set<std::string> listed;
        for (const auto &it : explanation.servers) {
            ASSERT_NEAR(sum(it.terms), it.weightMs, 1e-6);
            ASSERT_TRUE(listed.insert(it.server).second) << "listed twice";
        }
        if (!choice) {
            ASSERT_TRUE(explanation.servers.empty() || !explanation.servers.front().excludedBy.empty());
            continue;
        }
        chosen++;
        const auto &best = explanation.servers.front();
        ASSERT_EQ(best.server, choice->server.id);
        ASSERT_EQ(*explanation.chosen, choice->server.id);
        ASSERT_TRUE(best.excludedBy.empty());
        ASSERT_EQ(best.uncachedTokens, choice->uncachedTokens);
        ASSERT_EQ(best.finishMs, choice->plan.finish.count());
        ASSERT_EQ(best.terms.waitMs, choice->plan.wait.count());
    }
    EXPECT_GT(chosen, 300U) << "the states were too uniform to show anything";
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ExplainedChoice,
                         ::testing::Values(ChoiceCase{1, 3, Placement::Learned},
                                           ChoiceCase{2, 8, Placement::Learned},
                                           ChoiceCase{3, 8, Placement::Fixed},
                                           ChoiceCase{4, 40, Placement::Learned},
                                           ChoiceCase{5, 300, Placement::Learned}));

namespace {

/** Texts of decisions, to compare them. */
struct DecisionText
{
    std::string operator()(const QuotaGranted & /*it*/) const
    {
        return "granted";
    }
    std::string operator()(const QuotaRefused &it) const
    {
        return "refused " + std::to_string(it.retryAfter.count());
    }
    std::string operator()(const TokenGranted & /*it*/) const
    {
        return "granted";
    }
    std::string operator()(const TokenBudgetExhausted &it) const
    {
        return "exhausted " + std::to_string(it.reserved);
    }
    std::string operator()(const TokenBudgetUnknown &it) const
    {
        return "unsettled " + std::to_string(it.retryAfter.count());
    }
    std::string operator()(const TokenNeedsReturns &it) const
    {
        return "needs returns " + it.holders.front();
    }
    std::string operator()(const TokenNeedsWrite &it) const
    {
        return "needs write " + std::to_string(it.write.row.reserved) + " " + it.write.row.writer;
    }
    std::string operator()(const TokenNeedsRead & /*it*/) const
    {
        return "needs read";
    }
    std::string operator()(const ProgramAdmitted &it) const
    {
        return "admitted " + std::string(admissionName(it.basis));
    }
    std::string operator()(const ProgramRefused &it) const
    {
        return "refused " + std::string(admissionName(it.reason)) + " " + std::to_string(it.untilRoom.count()) + " "
            + std::to_string(it.retryAfter.count()) + (it.isRepeated ? " again" : "");
    }
    template<typename Other>
    std::string operator()(const Other & /*it*/) const
    {
        return "waits";
    }
};

/** Compares a preview, made twice, with the decision that follows it. @return Text of the decision. */
template<typename Preview, typename Decide>
std::string expectSame(const Preview &preview, const Decide &decide)
{
    const auto first = std::visit(DecisionText(), preview());
    const auto second = std::visit(DecisionText(), preview());
    auto decided = std::visit(DecisionText(), decide());
    EXPECT_EQ(first, decided);
    EXPECT_EQ(second, decided) << "the first preview has changed something";
    return decided;
}

struct Previews : ::testing::TestWithParam<std::uint64_t>
{
    /** Records a decision, so that the test can check that it has met different ones. */
    void met(const std::string &decision)
    {
        kinds.insert(decision.substr(0, decision.find_first_of("0123456789")));
    }

    Dice dice{GetParam()};
    TimePoint now = Start;
    std::set<std::string> kinds;
};

} // namespace

// Guards against a preview that takes a permit, or that leaves out something the decision depends on.
TEST_P(Previews, OfPermitsAreWhatIsDecided)
{
    QuotaLedger ledger("vm", "i");
    ledger.apply({{"c0", {}, 0, {20, 10}}, {"c1", {}, 0, {2, 0}}, {"c2", {}, 0, {}}}, now);
    std::map<std::string, std::uint64_t> sent;
    std::uint64_t number = 0;
    for (int n = 0; n < 2000; n++) {
        now += std::chrono::milliseconds(dice.below(60));
        if (dice.isHit(20)) {
            std::vector<UsageReport> reports;
            number++;
            for (std::uint32_t vm = 0; vm < 3; vm++) {
                const auto name = "other" + std::to_string(vm);
                sent[name] += dice.below(10);
                reports.push_back({name, "i", number, {{customerHash("c0"), sent[name], dice.below(9000)}}});
            }
            ledger.onReportWritten(now);
            ledger.onReports(reports, now, now);
        }
        now += dice.isHit(400) ? 3s : 0s; // Out of touch.
        const QuotaRequest request{dice.name("c", 3), dice.isHit(2), dice.isHit(3), dice.below(1000), 2s};
        const auto before = ledger.view(request.customer, now);
        met(expectSame(
            [&] {
                return ledger.preview(request, now);
            },
            [&] {
                const auto after = ledger.view(request.customer, now);
                EXPECT_EQ(before.has_value(), after.has_value());
                EXPECT_TRUE(!before || (before->part == after->part && before->level == after->level && before->demand == after->demand));
                return ledger.request(request, now);
            }));
        if (dice.isHit(10)) {
            ledger.takeBack(request.customer);
        }
    }
    EXPECT_EQ(kinds, (std::set<std::string>{"granted", "refused ", "waits"}));
}

// Guards against a preview that reserves tokens or opens a write, or that leaves out something the decision depends on.
TEST_P(Previews, OfTokensAreWhatIsDecided)
{
    TokenLedger ledger("proxy/1", "z");
    std::optional<TokenRequest> waiting; ///< Request that asks again.
    for (int n = 0; n < 3000; n++) {
        now += std::chrono::milliseconds(dice.below(400));
        TokenRequest request{dice.name("p", 6), 1000, 100U + dice.below(100), dice.isHit(2)};
        request.arrivedAt = now - std::chrono::milliseconds(dice.below(100));
        request.confirmedSince = dice.isHit(8) ? request.arrivedAt : TimePoint();
        if (waiting && !dice.isHit(4)) {
            request = *waiting;
        } else if (dice.isHit(3)) {
            request.streamVersion = SoftwareVersion{"svc", dice.name("v", 2)};
        }
        const auto program = request.program;
        const auto size = ledger.size();
        const auto decided = expectSame(
            [&] {
                return ledger.preview(request, now);
            },
            [&] {
                EXPECT_EQ(ledger.size(), size);
                return ledger.reserve(request, now);
            });
        met(decided);
        waiting = decided.starts_with("needs") || decided == "waits" ? std::optional(request) : std::nullopt;
        const auto row = ledger.row(program);
        const TokenRow other{row.reserved + 100, "other/1/" + std::to_string(n), row.version + 1, "z", {}, row.returned, {"proxy"}};
        if (decided == "granted") {
            ledger.settle(program, request.maxTokens, dice.below(100), now);
        } else if (decided == "needs read") {
            ledger.onRowRead(program, dice.isHit(3) ? std::nullopt : std::optional(dice.isHit(2) ? row : other), now);
        } else if (decided.starts_with("needs write") && !dice.isHit(5)) {
            dice.isHit(4) ? ledger.onConflict(program, other) : ledger.onWritten(program, row.version + 1);
        } else if (decided.starts_with("needs write")) {
            ledger.onWriteFailed(program);
        } else if (decided.starts_with("needs returns") && !dice.isHit(3)) {
            ledger.onReturnsRequested(program, dice.isHit(2), dice.isHit(2));
        } else if (decided == "waits") {
            ledger.onReturnsRequested(program, false, false);
        } else if (dice.isHit(2)) {
            ledger.removeIdle(now); // The budget is spent; the next one begins.
        }
    }
    for (const auto *it : {"granted", "needs read", "needs write ", "needs returns other", "exhausted ", "unsettled ", "waits"}) {
        EXPECT_TRUE(kinds.contains(it)) << it;
    }
}

// Guards against a preview that records a program, and against one for a state other than that of the next decision.
TEST_P(Previews, OfAdmissionAreWhatIsDecided)
{
    ProgramAdmission admission;
    SaturationMonitor monitor;
    for (int n = 0; n < 3000; n++) {
        now += std::chrono::milliseconds(dice.below(30));
        const bool isBurst = n % 1000 > 500;
        monitor.recordStart("svc", true, now);
        if (isBurst && !dice.isHit(8)) {
            monitor.recordRefusal("svc", now);
        } else {
            monitor.recordFirstEvent("svc", std::chrono::milliseconds(dice.below(500)), 200ms, now);
            monitor.recordTurn("svc", 300ms, now);
        }
        monitor.recordEnd("svc");
        const auto expected = monitor.preview("svc", 8, now);
        monitor.update("svc", 8, now);
        const auto view = monitor.view("svc");
        ASSERT_EQ(expected.isSaturated, view.isSaturated);
        ASSERT_EQ(expected.isBusy, view.isBusy);
        ASSERT_EQ(expected.refusalShare, view.refusalShare);
        ASSERT_EQ(expected.delayRatio, view.delayRatio);
        ProgramRequest request{
            dice.below(400), {dice.below(4), dice.below(3)}, "svc", dice.name("r", 2), !dice.isHit(4), !dice.isHit(3), {}, {}};
        request.timeLeft = std::chrono::milliseconds(dice.below(4000));
        request.programTimeLeft = dice.isHit(3) ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(dice.below(6000)));
        const auto size = admission.size();
        met(expectSame(
            [&] {
                return admission.preview(request, view, now);
            },
            [&] {
                EXPECT_EQ(admission.size(), size);
                return admission.decide(request, view, now);
            }));
    }
    for (const auto *it : {"admitted in_progress", "admitted not_saturated", "admitted room", "refused full ", "refused customer_share "}) {
        EXPECT_TRUE(kinds.contains(it)) << it;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Previews, ::testing::Range<std::uint64_t>(1, 9));

} // namespace Vanillahall::Forward
