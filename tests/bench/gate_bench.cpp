/** Cost of the gate's decisions by queue length, with a linear search in an unsorted list as the baseline. */
#include "vanillahall/core/gate_base.h"
#include "vanillahall/core/gate_query_func.h"
#include "vanillahall/core/wait_queue_base.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

namespace Vanillahall {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Operations = 20000; ///< Operations per measurement.
constexpr std::uint32_t Seed = 20261204;

/** Generates waiting calls of ten customers with deadlines spread over two minutes. */
class CallSource
{
public:
    WaitingCall next()
    {
        constexpr int Customers = 10;
        constexpr int SpreadMs = 120000;
        WaitingCall call;
        call.key = CallKey{ProgramId{ShardId{1}, ++m_serial}, Turn{1}};
        call.customer = CustomerName{"customer-" + std::to_string(m_random() % Customers)};
        call.urgency.deadline = m_now.wall + std::chrono::milliseconds(m_random() % SpreadMs);
        call.urgency.remaining = 5s;
        call.acceptedAt = m_now.steady;
        call.expectedWork = 1s;
        return call;
    }

    Now advanceTime()
    {
        m_now.steady += 1ms;
        m_now.wall += 1ms;
        return m_now;
    }

private:
    std::mt19937 m_random{Seed};
    std::uint64_t m_serial = 0;
    Now m_now{TimePoint(1000s), WallTime(1'800'000'000s)};
};

/** Baseline: finds the call with the earliest latest start (deadline minus remaining time) by linear search. */
class LinearSearchList
{
public:
    void push(const WaitingCall &call)
    {
        m_calls.push_back(call);
    }

    void pop(Now /*now*/)
    {
        const auto least = std::min_element(m_calls.begin(), m_calls.end(), [](const WaitingCall &left, const WaitingCall &right) {
            return left.urgency.deadline - left.urgency.remaining < right.urgency.deadline - right.urgency.remaining;
        });
        *least = std::move(m_calls.back());
        m_calls.pop_back();
    }

private:
    std::vector<WaitingCall> m_calls;
};

/** @return Microseconds per pair of push and pop with `waiting` calls in the queue. */
template<typename Queue>
double pushAndPop(std::size_t waiting)
{
    Queue queue;
    CallSource source;
    for (std::size_t n = 0; n < waiting; n++) {
        queue.push(source.next());
    }
    std::vector<WaitingCall> calls;
    std::vector<Now> times;
    for (std::size_t n = 0; n < Operations; n++) {
        times.push_back(source.advanceTime());
        calls.push_back(source.next());
    }
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < Operations; n++) {
        queue.push(calls[n]);
        queue.pop(times[n]);
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - began;
    return elapsed.count() / Operations;
}

RunCall runOrder(std::uint64_t serial, Now now)
{
    RunCall order;
    order.key = CallKey{ProgramId{ShardId{1}, serial}, Turn{1}};
    order.attempt = Attempt{1};
    order.fence = Fence{ShardId{1}, Epoch{1}, Incarnation{1}, GateTime(now.steady.time_since_epoch()) + 5s};
    order.customer = CustomerName{"customer"};
    order.urgency = Urgency{now.wall + std::chrono::seconds(serial % 100), 1s, true};
    order.timeLimit = 30s;
    order.body = ServiceCall{ServiceName{"s"}, "operation", "{}", false};
    return order;
}

/** @return Microseconds per call, from the order to the settled outcome, with `waiting` calls in the queue. */
double gateCall(std::size_t waiting)
{
    GateSettings settings;
    settings.incarnation = Incarnation{1};
    settings.kind = PoolKind::Service;
    settings.slots = 1;
    settings.maxWaiting = 1000000;
    Gate gate(settings);
    Now now{TimePoint(1000s), WallTime(1'800'000'000s)};
    std::uint64_t serial = 0;
    CallKey running;
    for (std::size_t n = 0; n <= waiting; n++) {
        gate.handle(OrderReceived{LinkId{1}, runOrder(++serial, now)}, now);
    }
    running = runOrder(1, now).key;
    const auto began = std::chrono::steady_clock::now();
    for (std::uint64_t n = 1; n <= Operations; n++) {
        now.steady += 1ms;
        now.wall += 1ms;
        const RunCall order = runOrder(++serial, now);
        gate.handle(OrderReceived{LinkId{1}, order}, now);
        const auto actions = gate.handle(ServerCallFinished{ServerCallId{n}, CallResult{}}, now);
        gate.handle(OrderReceived{LinkId{1}, SettleCalls{order.fence, {running}}}, now);
        for (const GateAction &action : actions) {
            if (const auto *start = std::get_if<StartServerCall>(&action)) {
                running = start->key;
            }
        }
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - began;
    return elapsed.count() / Operations;
}

} // namespace

} // namespace Vanillahall

int main()
{
    using namespace Vanillahall;
    for (const std::size_t waiting : {100UL, 1000UL, 10000UL, 100000UL}) {
        std::printf("wait_queue_push_pop_%zu: %.2f us\n", waiting, pushAndPop<WaitQueue>(waiting));
        std::printf("searched_list_push_pop_%zu: %.2f us\n", waiting, pushAndPop<LinearSearchList>(waiting));
        std::printf("gate_call_%zu: %.2f us\n", waiting, gateCall(waiting));
    }
    return 0;
}
