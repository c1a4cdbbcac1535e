/** HTTP adapter of one model engine. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <cstddef>
#include <memory>

namespace Vanillahall {

/** How to talk to an engine. */
struct EngineClientSettings
{
    PlatformPeer peer;                                     ///< Where it listens.
    Incarnation incarnation;                               ///< The gate's run; makes request names unique over its restarts.
    Duration inactivityTimeout = std::chrono::seconds(30); ///< A stream without any byte for this long has failed.
    Duration controlTimeLimit = std::chrono::seconds(2);   ///< Longest time for a cancel, a release or a load report.
    std::size_t maxAnswer = std::size_t{16} * 1024 * 1024; ///< Largest text of one answer, in bytes.
};

struct EngineClientState;

/** Carries out a gate's actions at a model engine and tells the gate what happens. */
class EngineClient
{
public:
    /**
     * @param callback Gets every event; called on the loop, never inside a function of this class.
     * @pre `http` outlives the client.
     */
    EngineClient(HttpClient &http, EngineClientSettings settings, GateEventCallback callback);
    ~EngineClient(); ///< Drops open requests without cancelling them at the engine; nothing is called any more.
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /**
     * Starts a model call. ServerCallStarted and ServerTokensReceived follow; ServerCallFinished or ServerCallFailed comes last.
     * @pre `action.body` holds a ModelCall.
     */
    void start(const StartServerCall &action);

    /** Drops the call's connection, if it is open, and continues its stream on a new one. Ends like start(). */
    void resume(const ResumeServerCall &action);

    /** Cancels a call at the engine. No event of the call follows. */
    void cancel(const CancelServerCall &action);

    /** Releases a program's engine memory. MemoryFreed follows. */
    void free(const FreeMemory &action);

    /** Releases all engine memory; tried again with every pollLoad() until the engine has confirmed. */
    void freeAll();

    /** Asks for the load once. ServerLoad follows, unless an earlier poll is still open. */
    void pollLoad();

private:
    std::unique_ptr<EngineClientState> m_state;
};

} // namespace Vanillahall
