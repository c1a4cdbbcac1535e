/** The decisions of a gate: the only door to one backend server. No sockets, no threads, no clock. */
#pragma once

#include "vanillahall/core/gate_event_type.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Vanillahall {

/** Who this gate is and how it works. */
struct GateSettings
{
    ServerName server;                                        ///< The backend server.
    ZoneName zone;                                            ///< Its availability zone.
    Incarnation incarnation;                                  ///< Random number of this run.
    PoolKind kind = PoolKind::Model;                          ///< What it fronts.
    ServiceName service;                                      ///< The plain service, if it fronts one.
    std::uint32_t slots = 8;                                  ///< Calls that run at once until the server reports its own number.
    std::uint32_t maxWaiting = 1000;                          ///< Longest queue.
    std::uint32_t maxHeldOutcomes = 4000;                     ///< Most finished calls kept until they are settled.
    Duration tick = std::chrono::milliseconds(10);            ///< Longest time between two events.
    Duration statusInterval = std::chrono::milliseconds(500); ///< Time between GateStatus messages on a used link.
    Duration pinReportInterval = std::chrono::seconds(2);     ///< Time between PinnedPrograms messages.
    Duration streamSilence = std::chrono::seconds(3);         ///< A stream without progress for this long is resumed on a new connection.
    Duration outcomeRetention = std::chrono::minutes(30);     ///< A finished call that nobody settles is kept this long.
    Duration stopLimit = std::chrono::minutes(2);             ///< Longest wait for held outcomes to be settled on a planned stop.
    Duration orphanTimeout = std::chrono::seconds(20);        ///< Pins of a shard whose lease lapsed this long ago are released.
    Duration serverDownGrace = std::chrono::seconds(2);       ///< Waiting calls are given back when the server is away this long.
};

struct GateState;

/**
 * One gate. Feed it events; carry out the actions in order.
 * Equal events at equal times give equal actions.
 */
class Gate
{
public:
    /** @param settings Who this gate is. */
    explicit Gate(GateSettings settings);
    ~Gate();
    Gate(Gate &&) noexcept;
    Gate &operator=(Gate &&) noexcept;

    /**
     * Handles one event.
     * @param event What happened.
     * @param now The present moment; never before that of an earlier call.
     * @return What to do, in order.
     */
    std::vector<GateAction> handle(const GateEvent &event, Now now);

    /** @return Read-only state, for the queries of gate_query_func.h. */
    [[nodiscard]] const GateState &state() const;

private:
    std::unique_ptr<GateState> m_state;
};

} // namespace Vanillahall
