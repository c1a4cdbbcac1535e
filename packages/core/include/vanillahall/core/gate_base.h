/** State machine of a gate, through which all calls to one backend server pass. Uses no sockets, threads or clock. */
#pragma once

#include "vanillahall/core/gate_event_type.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Vanillahall {

/** Identity and limits of a gate. */
struct GateSettings
{
    ServerName server;                                        ///< The backend server.
    ZoneName zone;                                            ///< Its availability zone.
    Incarnation incarnation;                                  ///< Random number that identifies this run.
    PoolKind kind = PoolKind::Model;                          ///< Kind of backend server.
    ServiceName service;                                      ///< Name of the plain service, if it is one.
    std::uint32_t slots = 8;                                  ///< Concurrent calls until the server reports its own limit.
    std::uint32_t maxWaiting = 1000;                          ///< Maximum queue length.
    std::uint32_t maxHeldOutcomes = 4000;                     ///< Maximum number of finished calls that are not settled yet.
    Duration tick = std::chrono::milliseconds(10);            ///< Maximum time between two events.
    Duration statusInterval = std::chrono::milliseconds(500); ///< Time between GateStatus messages on a used link.
    Duration pinReportInterval = std::chrono::seconds(2);     ///< Time between PinnedPrograms messages.
    Duration streamSilence = std::chrono::seconds(3);         ///< A stream without progress for this long is resumed on a new connection.
    Duration outcomeRetention = std::chrono::minutes(30);     ///< Time for which an unsettled outcome is retained.
    Duration stopLimit = std::chrono::minutes(2);             ///< Maximum wait on a planned stop for outcomes to be fetched or settled.
    Duration orphanTimeout = std::chrono::seconds(20);        ///< Pins of a shard are released this long after its lease expired.
    Duration serverDownGrace = std::chrono::seconds(2);       ///< Waiting calls fail when the server has been unreachable for this long.
};

struct GateState;

/**
 * One gate. The caller feeds it events and carries out the returned actions in order.
 * Deterministic: equal events at equal times give equal actions.
 */
class Gate
{
public:
    /** @param settings Identity and limits of the gate. */
    explicit Gate(GateSettings settings);
    ~Gate();
    Gate(Gate &&) noexcept;
    Gate &operator=(Gate &&) noexcept;

    /**
     * Handles one event.
     * @param event What happened.
     * @param now The current time; never before that of an earlier call.
     * @return Actions to carry out, in order.
     */
    std::vector<GateAction> handle(const GateEvent &event, Now now);

    /** @return Read-only state, for the queries of gate_query_func.h. */
    [[nodiscard]] const GateState &state() const;

private:
    std::unique_ptr<GateState> m_state;
};

} // namespace Vanillahall
