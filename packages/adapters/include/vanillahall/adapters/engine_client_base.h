/** HTTP client of one model engine. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include <cstddef>
#include <memory>

namespace Vanillahall {

/** Settings of an EngineClient. */
struct EngineClientSettings
{
    PlatformPeer peer;                                          ///< Address of the engine.
    Incarnation incarnation;                                    ///< Incarnation of the gate; makes request ids unique across its restarts.
    Duration idleTimeout = std::chrono::seconds(30);            ///< A stream that receives no byte for this long has failed.
    Duration controlTimeout = std::chrono::seconds(2);          ///< Limit for a cancel, a release or a load report.
    std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024; ///< Maximum size of the generated text of a call.
};

struct EngineClientState;

/** Sends a gate's calls and memory releases to a model engine and reports the results as gate events. */
class EngineClient
{
public:
    /**
     * @param callback Receives every event; called from the event loop, never from within a member function of this class.
     * @pre `http` outlives the client.
     */
    EngineClient(HttpClient &http, EngineClientSettings settings, GateEventCallback callback);
    ~EngineClient(); ///< Closes pending requests without cancelling them at the engine; the callback is not called again.
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    /**
     * Starts a model call. Reports ServerCallStarted and ServerTokensReceived, and ServerCallFinished or ServerCallFailed last.
     * @pre `action.body` holds a ModelCall.
     */
    void start(const StartServerCall &action);

    /** Closes the call's connection, if open, and continues its stream on a new one. Reports the end as start() does. */
    void resume(const ResumeServerCall &action);

    /** Cancels a call at the engine. No further event of the call is reported. */
    void cancel(const CancelServerCall &action);

    /** Releases a program's engine memory and reports MemoryFreed. */
    void free(const FreeMemory &action);

    /** Releases all engine memory; retried with every pollLoad() until the engine has confirmed it. */
    void freeAll();

    /** Requests the load once and reports ServerLoad, unless an earlier poll is still pending. */
    void pollLoad();

private:
    std::unique_ptr<EngineClientState> m_state;
};

} // namespace Vanillahall
