#include "overload_replay.h"

#include "vanillahall/core/admission/request_order_base.h"

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr Duration Warmup = 40s;
constexpr Duration Prefill = 60ms;    // Time to the first event at an idle engine.
constexpr Duration Gap = 150ms;       // Calls of plain services between two turns.
constexpr Duration Objective = 200ms; // For the first event.
constexpr auto UsualRetryAfter = 250ms;

} // namespace

OverloadReplay::OverloadReplay(ReplayLoad load)
    : m_load(std::move(load))
    , m_random(m_load.seed)
{
    m_result.customers.resize(m_load.burst.size());
    for (auto &it : m_proxies) {
        it.saturation = SaturationMonitor(m_load.saturation);
    }
}

void OverloadReplay::after(Duration span, std::function<void()> act)
{
    m_queue.push({m_now + span, m_events++, std::move(act)});
}

ReplayResult OverloadReplay::run()
{
    const auto begun = m_now;
    for (std::size_t n = 0; n < m_load.burst.size(); n++) {
        after(1ms * n, [this, n, begun] {
            arrive(n, begun + Warmup, false, nullptr);
        });
        after(Warmup + 1ms * n, [this, n, begun] {
            arrive(n, begun + Warmup + m_load.length, true, &m_result.customers[n]);
        });
        after(Warmup + m_load.length, [this, n, begun] {
            arrive(n, begun + Warmup + m_load.length + 20s, false, &m_result.later);
        });
    }
    while (!m_queue.empty()) {
        const auto event = m_queue.top();
        m_queue.pop();
        m_now = event.at;
        event.act();
    }
    return m_result;
}

void OverloadReplay::arrive(std::size_t customer, TimePoint until, bool isBurst, ReplayCount *count)
{
    if (m_now >= until) {
        return;
    }
    begin(customer, count);
    const double rate = m_load.usualPerSecond / static_cast<double>(m_load.burst.size()) * (isBurst ? m_load.burst[customer] : 1);
    after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::uniform_real_distribution(0.5, 1.5)(m_random) / rate)),
          [this, customer, until, isBurst, count] {
              arrive(customer, until, isBurst, count);
          });
}

void OverloadReplay::begin(std::size_t customer, ReplayCount *count)
{
    const std::uint64_t id = m_programs.size() + 1;
    auto &program = m_programs[id];
    program.id = id;
    program.customer = customer;
    program.begun = m_now;
    program.count = count;
    program.turns.resize(std::uniform_int_distribution(1, 100)(m_random) <= 74 ? 3 : 11);
    for (auto &it : program.turns) {
        it = 1ms * std::uniform_int_distribution(150, 450)(m_random);
        program.time += (it + Gap) * 3 / 2;
    }
    program.time += Objective;
    if (count != nullptr) {
        count->demand++;
    }
    ask(program);
}

bool OverloadReplay::isGivenUp(const Program &program) const
{
    return m_now > program.begun + 2 * program.time;
}

OverloadReplay::Proxy &OverloadReplay::proxyOf(const Program &program)
{
    return m_proxies[program.id % Proxies];
}

void OverloadReplay::ask(Program &program)
{
    if (isGivenUp(program)) {
        return;
    }
    if (!m_load.hasAdmission) {
        send(program);
        return;
    }
    auto &proxy = proxyOf(program);
    proxy.saturation.update("svc", static_cast<double>(Engines) * Slots / Proxies, m_now);
    if (proxy.saturation.view("svc").isRefusing && m_now > program.begun + program.time) {
        // The proxy defers turns of late programs.
        after(100ms, [this, &program] {
            ask(program);
        });
        return;
    }
    const auto rank = m_load.ranks.empty() ? 0 : m_load.ranks[program.customer];
    const ProgramRequest request{program.id,
                                 {program.customer + 1, rank},
                                 "svc",
                                 program.turns.size() > 3 ? "stored" : "chat",
                                 true,
                                 program.done == 0,
                                 program.begun + 2 * program.time - m_now,
                                 program.begun + program.time - m_now};
    const auto decision = proxy.admission.decide(request, proxy.saturation.view("svc"), m_now);
    const auto *refused = std::get_if<ProgramRefused>(&decision);
    if (refused == nullptr) {
        send(program);
        return;
    }
    m_result.refused++;
    m_result.refusedInProgress += program.done > 0 ? 1 : 0;
    m_result.refusedAgain += std::exchange(program.wasRefused, true) ? 1 : 0;
    m_result.returns[static_cast<int>(m_now.time_since_epoch() / 100ms)]
                    [static_cast<int>((m_now + refused->retryAfter).time_since_epoch() / 100ms)]++;
    after(refused->retryAfter, [this, &program] {
        ask(program);
    });
}

void OverloadReplay::send(Program &program)
{
    auto &proxy = proxyOf(program);
    const bool isInTime = m_now < program.begun + program.time;
    for (int n = 0; n < 3; n++) {
        auto &first = m_engines[m_random() % Engines];
        auto &second = m_engines[m_random() % Engines];
        const auto load = [](const Engine &it) {
            return static_cast<std::size_t>(it.running) + it.queue.size();
        };
        auto &engine = load(first) < load(second) ? first : second;
        proxy.saturation.recordStart("svc", isInTime, m_now);
        if (engine.running == Slots && engine.queue.size() >= QueueLength) {
            if (isInTime) {
                proxy.saturation.recordRefusal("svc", m_now);
            }
            proxy.saturation.recordEnd("svc");
            continue;
        }
        const auto sentAt = m_now;
        const auto left = program.begun + program.time - m_now;
        const auto priority = m_load.ranks.empty() ? enginePriority(left) : enginePriority(m_load.ranks[program.customer], left, false);
        engine.queue.emplace(priority, [this, &engine, &program, sentAt] {
            runTurn(engine, program, sentAt);
        });
        startNext(engine);
        return;
    }
    after(UsualRetryAfter, [this, &program] {
        ask(program);
    });
}

void OverloadReplay::startNext(Engine &engine)
{
    if (engine.running < Slots && !engine.queue.empty()) {
        const auto act = engine.queue.begin()->second;
        engine.queue.erase(engine.queue.begin());
        act();
    }
}

void OverloadReplay::runTurn(Engine &engine, Program &program, TimePoint sentAt)
{
    if (isGivenUp(program)) {
        proxyOf(program).saturation.recordEnd("svc");
        startNext(engine);
        return;
    }
    engine.running++;
    after(Prefill, [this, &program, sentAt] {
        if (m_now < program.begun + program.time) {
            proxyOf(program).saturation.recordFirstEvent("svc", m_now - sentAt, Objective, m_now);
        }
    });
    const auto work = program.turns[program.done];
    after(work, [this, &engine, &program, work] {
        engine.running--;
        proxyOf(program).saturation.recordTurn("svc", work - Prefill, m_now);
        proxyOf(program).saturation.recordEnd("svc");
        startNext(engine);
        program.done++;
        if (program.done < program.turns.size()) {
            after(Gap, [this, &program] {
                ask(program);
            });
        } else if (program.count != nullptr) {
            program.count->inTime += m_now <= program.begun + program.time ? 1 : 0;
            program.count->inDouble += isGivenUp(program) ? 0 : 1;
        }
    });
}

} // namespace Vanillahall::Forward
