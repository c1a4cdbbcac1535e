#include "vanillahall/core/customer/quota_ledger_base.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint RunStart{1000s};
constexpr std::size_t ProxyCount = 3;    ///< VMs; each may run two processes at once.
constexpr Duration MaxReplyTime = 900ms; ///< Time limit of calls.

/** Kinds of steps. */
enum class StepKind : std::uint8_t {
    Send,     ///< Requests arrive at a proxy.
    Commit,   ///< The store executes a call.
    Lose,     ///< A call fails for the proxy, while the store may execute it later.
    Reply,    ///< A reply arrives.
    Advance,  ///< Time passes.
    Freeze,   ///< Time passes while calls and replies stay where they are.
    Restart,  ///< A process is killed and another one starts on its VM.
    CutOff,   ///< A proxy loses or regains the store.
    HoldSend, ///< A request gets a permit and is sent shortly before the permit expires.
    TakeBack, ///< A request that wasn't sent hands its permit back.
    NewLimit, ///< The customer's limit changes.
    Corrupt,  ///< The row becomes unreadable.
};

/** One step of a run. */
struct RunStep
{
    StepKind kind;
    std::uint32_t proxy;
    std::uint32_t pick;
};

std::ostream &operator<<(std::ostream &out, const RunStep &step)
{
    return out << "step " << static_cast<int>(step.kind) << " proxy " << step.proxy << " pick " << step.pick;
}

/** A call of a proxy, from its start until its reply is taken or lost. */
struct Call
{
    std::optional<QuotaWrite> write; ///< The write; nothing for a read.
    TimePoint startedAt{};           ///< When it was made.
    std::optional<QuotaRow> reply;   ///< Row after the call was executed; the row that refused the write if `isRefused`.
    bool isRefused = false;          ///< True if the write was refused.
};

/** One process of a proxy. */
struct Process
{
    std::unique_ptr<QuotaLedger> ledger;
    std::optional<Call> call;      ///< Call under way.
    CustomerLimit limit;           ///< Limit of the configuration that the process has.
    std::uint64_t clockLagMs{};    ///< How much its estimate of the store's clock is late.
    bool isCutOff = false;         ///< True while it doesn't reach the store.
    std::vector<QuotaPermit> held; ///< Permits of requests that haven't been sent.
};

/** A limit and when it was in use. */
struct LimitSpan
{
    TimePoint since{};               ///< When a process first had it.
    CustomerLimit limit;             ///< The limit.
    std::optional<TimePoint> leftAt; ///< When no process had it any more.
};

/** Proxies, a store, and the sends of one customer. */
class RandomRun
{
public:
    RandomRun(const CustomerLimit &limit, const QuotaSettings &settings)
        : m_settings(settings)
        , m_limit(limit)
    {
        m_limits.push_back({RunStart - 1h, limit, {}});
        for (std::size_t n = 0; n < ProxyCount * 2; n++) {
            start(n, n % ProxyCount);
        }
    }

    void apply(const RunStep &step)
    {
        const std::size_t n = step.proxy % m_processes.size();
        auto &process = m_processes[n];
        switch (step.kind) {
        case StepKind::Send:
            for (std::uint32_t i = 0; i <= step.pick % 40; i++) {
                sendNow(process, step.pick % 2 == 0);
            }
            break;
        case StepKind::Commit:
            execute(process);
            break;
        case StepKind::Lose:
            lose(process);
            break;
        case StepKind::Reply:
            execute(process);
            reply(process);
            break;
        case StepKind::Advance:
            advance(Duration(1ms) * (step.pick % 700));
            break;
        case StepKind::Freeze:
            m_now += Duration(1ms) * (step.pick * 8);
            break;
        case StepKind::Restart:
            lose(process);
            start(n, n % ProxyCount);
            break;
        case StepKind::CutOff:
            process.isCutOff = !process.isCutOff;
            break;
        case StepKind::HoldSend:
            if (const auto permit = request(process, true)) {
                process.held.push_back(*permit);
            }
            break;
        case StepKind::TakeBack:
            if (!process.held.empty()) {
                process.ledger->takeBack("c", process.held.back(), m_now);
                process.held.pop_back();
            }
            break;
        case StepKind::NewLimit:
            changeLimit(step.pick);
            break;
        case StepKind::Corrupt:
            if (step.pick % 8 == 0 && m_row.version != 0) {
                m_row.isUnreadable = true;
                m_row.version = ++m_version;
            }
            break;
        }
        executeLate(step.pick);
        recordUnusedLimits();
    }

    /** @return Description of a window with too many sends; empty if there is none. */
    [[nodiscard]] std::string firstFault() const
    {
        std::size_t begin = 0;
        for (std::size_t n = 0; n < m_sends.size(); n++) {
            while (m_sends[n] - m_sends[begin] >= m_settings.window) {
                begin++;
            }
            const auto allowed = bound(m_sends[n] - m_settings.window, m_sends[n]);
            if (static_cast<double>(n - begin + 1) > allowed) {
                return std::to_string(n - begin + 1) + " sends of " + std::to_string(allowed) + " at "
                    + std::to_string((m_sends[n] - RunStart) / 1ms) + " ms";
            }
        }
        return {};
    }

    [[nodiscard]] std::size_t sendCount() const
    {
        return m_sends.size();
    }

private:
    void start(std::size_t n, std::size_t vm)
    {
        Process process;
        process.ledger = std::make_unique<QuotaLedger>("vm" + std::to_string(vm), std::to_string(m_nextIncarnation++), m_settings);
        process.limit = m_limit;
        process.clockLagMs = m_nextIncarnation * 37 % 100;
        if (n < m_processes.size()) {
            m_processes[n] = std::move(process);
        } else {
            m_processes.push_back(std::move(process));
        }
    }

    [[nodiscard]] std::uint64_t storeMs() const
    {
        return static_cast<std::uint64_t>((m_now - RunStart) / 1ms) + 1000000;
    }

    std::optional<QuotaPermit> request(Process &process, bool isInProgress)
    {
        const auto answer
            = process.ledger->request({"c", process.limit, isInProgress, false, 0, 5s}, m_now, storeMs() - process.clockLagMs);
        const auto *granted = std::get_if<QuotaGranted>(&answer);
        const auto *write = std::get_if<QuotaNeedsWrite>(&answer);
        if (write != nullptr || (granted != nullptr && granted->renewal)) {
            process.call = Call{write != nullptr ? write->write : *granted->renewal, m_now, {}, false};
        } else if (std::holds_alternative<QuotaNeedsRead>(answer)) {
            process.call = Call{std::nullopt, m_now, {}, false};
        }
        return granted != nullptr ? std::optional(granted->permit) : std::nullopt;
    }

    void sendNow(Process &process, bool isInProgress)
    {
        if (request(process, isInProgress)) {
            m_sends.push_back(m_now);
        }
    }

    void execute(Process &process)
    {
        if (process.call && !process.call->reply && !process.isCutOff) {
            executeCall(*process.call);
        }
    }

    void executeCall(Call &call)
    {
        call.isRefused = call.write && call.write->row.version != m_row.version;
        if (call.write && !call.isRefused) {
            m_row = call.write->row;
            m_row.version = ++m_version;
        }
        call.reply = m_row;
    }

    void reply(Process &process)
    {
        if (!process.call || !process.call->reply || m_now - process.call->startedAt > MaxReplyTime) {
            return;
        }
        const auto call = *std::exchange(process.call, std::nullopt);
        if (!call.write) {
            process.ledger->onRowRead("c", call.reply, m_now);
        } else if (call.isRefused) {
            process.ledger->onConflict("c", *call.reply, m_now);
        } else {
            process.ledger->onWritten("c", call.reply->version, m_now);
        }
    }

    void lose(Process &process)
    {
        if (!process.call) {
            return;
        }
        const auto call = *std::exchange(process.call, std::nullopt);
        if (!call.reply && call.write) {
            m_late.push_back(call);
        }
        if (call.write) {
            process.ledger->onWriteFailed("c", m_now);
        } else {
            process.ledger->onRowRead("c", std::nullopt, m_now);
        }
    }

    void executeLate(std::uint32_t pick)
    {
        if (!m_late.empty() && pick % 5 == 0) {
            executeCall(m_late.front());
            m_late.pop_front();
        }
    }

    void advance(Duration span)
    {
        const auto end = m_now + span;
        for (; m_now < end; m_now += std::min<Duration>(100ms, end - m_now)) {
            for (auto &it : m_processes) {
                if (it.call && m_now - it.call->startedAt > MaxReplyTime) {
                    lose(it);
                }
                std::erase_if(it.held, [this](const QuotaPermit &permit) {
                    const bool isLast = permit.validUntil && m_now < *permit.validUntil && m_now + 200ms >= *permit.validUntil;
                    if (isLast) {
                        m_sends.push_back(m_now);
                    }
                    return isLast || !permit.validUntil || m_now >= *permit.validUntil;
                });
                if (m_now >= m_limits.back().since + 1s) {
                    it.limit = m_limit;
                }
            }
        }
    }

    void recordUnusedLimits()
    {
        for (auto &it : m_limits) {
            const bool isUsed = it.limit == m_limit || std::any_of(m_processes.begin(), m_processes.end(), [&it](const Process &process) {
                                    return process.limit == it.limit;
                                });
            it.leftAt = isUsed ? std::nullopt : std::optional(it.leftAt.value_or(m_now));
        }
    }

    void changeLimit(std::uint32_t pick)
    {
        const double factor = pick % 3 == 0 ? 0.1 : (pick % 3 == 1 ? 0.5 : 3);
        m_limit = {std::clamp(m_limit.perSecond * factor, 0.05, 500.0), pick % 2 == 0 ? 0.0 : m_limit.perSecond};
        m_limits.push_back({m_now, m_limit, {}});
        m_processes[pick % m_processes.size()].limit = m_limit;
    }

    /** @return Sends that the rule allows in a window, by the limits that may apply to it. */
    [[nodiscard]] double bound(TimePoint begin, TimePoint end) const
    {
        // While two limits overlap, the rate of one and the burst of the other may apply.
        CustomerLimit most;
        for (const auto &it : m_limits) {
            const bool isOver = it.leftAt && *it.leftAt + m_settings.window <= begin;
            if (it.since <= end && !isOver) {
                most.perSecond = std::max(most.perSecond, it.limit.perSecond);
                most.burst = std::max(most.burst, it.limit.burst);
            }
        }
        const double window = std::chrono::duration<double>(m_settings.window).count();
        return (most.perSecond * window + most.burst) * (1 + m_settings.overrun) + m_settings.slack;
    }

    QuotaSettings m_settings;
    TimePoint m_now = RunStart;
    CustomerLimit m_limit;
    std::vector<LimitSpan> m_limits; ///< All limits so far.
    std::vector<Process> m_processes;
    std::deque<Call> m_late; ///< Writes that the store hasn't executed although the proxies have given them up.
    QuotaRow m_row;
    std::uint64_t m_version = 0;
    std::uint64_t m_nextIncarnation = 0;
    std::vector<TimePoint> m_sends;
};

} // namespace

RC_GTEST_PROP(QuotaProperty, NoWindowHasMoreSendsThanTheRuleAllows, ())
{
    const auto kind = rc::gen::weightedElement<StepKind>({{12, StepKind::Send},
                                                          {3, StepKind::Commit},
                                                          {2, StepKind::Lose},
                                                          {10, StepKind::Reply},
                                                          {8, StepKind::Advance},
                                                          {1, StepKind::Freeze},
                                                          {1, StepKind::Restart},
                                                          {1, StepKind::CutOff},
                                                          {2, StepKind::HoldSend},
                                                          {1, StepKind::TakeBack},
                                                          {1, StepKind::NewLimit},
                                                          {1, StepKind::Corrupt}});
    const auto number = rc::gen::inRange<std::uint32_t>(0, 1000);
    const auto step = rc::gen::construct<RunStep>(kind, number, number);
    const auto steps = *rc::gen::scale(6, rc::gen::container<std::vector<RunStep>>(step));
    const CustomerLimit limit{static_cast<double>(*rc::gen::inRange(1, 3000)) / 10, static_cast<double>(*rc::gen::element(0, 5, 40, 300))};
    const bool isStrict = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    RandomRun run(limit, isStrict ? QuotaSettings{5s, 0, 0} : QuotaSettings());
    for (const auto &it : steps) {
        run.apply(it);
    }
    RC_ASSERT(run.firstFault() == std::string());
}

/** A dense run: all processes send as much as they can all the time, with faults in between. */
RC_GTEST_PROP(QuotaProperty, FullDemandWithFaultsStaysWithinTheRule, ())
{
    const auto kind = rc::gen::weightedElement<StepKind>({{20, StepKind::Advance},
                                                          {1, StepKind::Lose},
                                                          {1, StepKind::Restart},
                                                          {1, StepKind::CutOff},
                                                          {1, StepKind::Freeze},
                                                          {1, StepKind::NewLimit}});
    const auto number = rc::gen::inRange<std::uint32_t>(0, 1000);
    const auto faults = *rc::gen::scale(3, rc::gen::container<std::vector<RunStep>>(rc::gen::construct<RunStep>(kind, number, number)));
    const CustomerLimit limit{static_cast<double>(*rc::gen::inRange(1, 1000)) / 10, static_cast<double>(*rc::gen::element(0, 5, 40, 300))};
    RandomRun run(limit, QuotaSettings());
    for (const auto &fault : faults) {
        for (std::uint32_t n = 0; n < ProxyCount * 2; n++) {
            run.apply({StepKind::Send, n, 38});
            run.apply({StepKind::Reply, n, 1});
            run.apply({StepKind::Send, n, 38});
            run.apply({StepKind::HoldSend, n, 1});
        }
        run.apply({StepKind::Advance, 0, 100 + fault.pick % 50});
        run.apply(fault);
    }
    RC_ASSERT(run.firstFault() == std::string());
}

} // namespace Vanillahall::Forward
