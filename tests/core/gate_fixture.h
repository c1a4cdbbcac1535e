/** Test fixture with a gate and simulated time, and helpers to send events and inspect actions. */
#pragma once

#include "vanillahall/core/gate_base.h"
#include "vanillahall/core/gate_query_func.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Vanillahall {

using namespace std::chrono_literals;

constexpr Incarnation GateRun{77}; ///< Incarnation of every tested gate.
constexpr ShardId TestShard{5};    ///< Shard of every tested program.

inline GateSettings gateSettings(PoolKind kind)
{
    GateSettings settings;
    settings.server = ServerName{"g1"};
    settings.incarnation = GateRun;
    settings.kind = kind;
    settings.slots = 2;
    return settings;
}

/** One gate under test. */
class GateFixture
{
public:
    explicit GateFixture(GateSettings settings)
        : m_gate(std::move(settings))
    {
    }

    /** Handles an event and appends the actions of the gate to `actions`. */
    void handle(const GateEvent &event)
    {
        for (GateAction &action : m_gate.handle(event, m_now)) {
            actions.push_back(std::move(action));
        }
    }

    void order(const EntryToGate &message, LinkId link = LinkId{1})
    {
        handle(OrderReceived{link, message});
    }

    /** Advances the time in steps, with a Tick after each. */
    void advance(Duration span, Duration step = 100ms)
    {
        for (Duration done{}; done < span; done += step) {
            m_now.steady += step;
            m_now.wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
            handle(Tick{});
        }
    }

    [[nodiscard]] Now now() const
    {
        return m_now;
    }
    [[nodiscard]] const GateState &state() const
    {
        return m_gate.state();
    }

    /** @return All actions of one type so far. */
    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const GateAction &action : actions) {
            if (const auto *it = std::get_if<Action>(&action)) {
                found.push_back(*it);
            }
        }
        return found;
    }

    /** @return All messages of one type to a link so far. */
    template<typename Message>
    std::vector<Message> sent(LinkId link = LinkId{1}) const
    {
        std::vector<Message> found;
        for (const SendToLink &send : all<SendToLink>()) {
            if (const auto *it = std::get_if<Message>(&send.message); it != nullptr && send.link == link) {
                found.push_back(*it);
            }
        }
        return found;
    }

    [[nodiscard]] Fence fence(Epoch epoch = Epoch{1}) const
    {
        return Fence{TestShard, epoch, GateRun, GateTime(m_now.steady.time_since_epoch()) + 5s};
    }

    [[nodiscard]] RunCall run(CallKey key, CallBody body, Attempt attempt = Attempt{1}, Epoch epoch = Epoch{1}) const
    {
        RunCall order;
        order.key = key;
        order.attempt = attempt;
        order.fence = fence(epoch);
        order.customer = CustomerName{"klokwerk"};
        order.className = ClassName{"diagnosis"};
        order.content = ContentHash{1, key.turn.value};
        order.urgency = Urgency{m_now.wall + 60s, 10s, true};
        order.timeLimit = 30s;
        order.body = std::move(body);
        return order;
    }

    std::vector<GateAction> actions; ///< All actions so far.

private:
    Gate m_gate;
    Now m_now{TimePoint(1000s), WallTime(1'800'000'000s)};
};

inline CallKey callKey(std::uint64_t serial, std::uint32_t turn = 1)
{
    return CallKey{ProgramId{TestShard, serial}, Turn{turn}};
}

inline CallBody modelBody(std::uint32_t promptTokens = 100)
{
    return ModelCall{ModelName{"m"}, {"{}"}, promptTokens, 50};
}

inline CallBody serviceBody(bool repeatable)
{
    return ServiceCall{ServiceName{"courier"}, "order", "{}", repeatable};
}

inline CallResult callResult(std::string body)
{
    CallResult result;
    result.status = 200;
    result.body = std::move(body);
    return result;
}

inline const Error &outcomeError(const CallOutcome &outcome)
{
    return std::get<Error>(outcome);
}

} // namespace Vanillahall
