#include "commands/gate_cmd.h"

#include <utility>

namespace Vanillahall {

namespace {

/** Dispatches each event to its command. */
struct EventVisitor
{
    GateContext &context; ///< Context of the event.

    void operator()(const OrderReceived &event) const
    {
        context.state.linkLastUsed[event.link] = context.now.steady;
        handleOrder(context, event.link, event.message);
    }
    void operator()(const LinkLost &event) const
    {
        onLinkLost(context, event.link);
    }
    void operator()(const ServerCallStarted &event) const
    {
        onServerCallStarted(context, event);
    }
    void operator()(const ServerTokensReceived &event) const
    {
        onServerTokensReceived(context, event);
    }
    void operator()(const ServerCallFinished &event) const
    {
        onServerCallFinished(context, event);
    }
    void operator()(const ServerCallFailed &event) const
    {
        onServerCallFailed(context, event);
    }
    void operator()(const ServerLoad &event) const
    {
        onServerLoad(context, event);
    }
    void operator()(const MemoryFreed &event) const
    {
        onMemoryFreed(context, event);
    }
    void operator()(const StopRequested & /*event*/) const
    {
        onStop(context);
    }
    void operator()(const Tick & /*event*/) const
    {
        onTick(context);
    }
};

} // namespace

Gate::Gate(GateSettings settings)
    : m_state(std::make_unique<GateState>())
{
    m_state->settings = std::move(settings);
}

Gate::~Gate() = default;
Gate::Gate(Gate &&) noexcept = default;
Gate &Gate::operator=(Gate &&) noexcept = default;

std::vector<GateAction> Gate::handle(const GateEvent &event, Now now)
{
    std::vector<GateAction> actions;
    GateContext context{*m_state, now, actions};
    if (!m_state->isInitialized) {
        m_state->isInitialized = true;
        m_state->timers = GateTimers{now.steady, now.steady, now.steady, now.steady};
        if (m_state->settings.kind == PoolKind::Model) {
            actions.emplace_back(FreeAllMemory{});
        }
    }
    std::visit(EventVisitor{context}, event);
    startCalls(context);
    checkStop(context);
    return actions;
}

const GateState &Gate::state() const
{
    return *m_state;
}

} // namespace Vanillahall
