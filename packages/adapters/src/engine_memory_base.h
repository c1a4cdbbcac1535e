/** Cancels calls and releases the memory of programs at an engine. */
#pragma once

#include "buffered_request_base.h"
#include "load_poller_base.h"

#include <map>
#include <string>

namespace Vanillahall {

/** Sends cancel and release requests to one engine and repeats those that may have had no effect. */
class EngineMemory
{
public:
    /** @param timeLimit Maximum time for one request. @param callback Receives MemoryFreed. @pre Both references outlive this. */
    EngineMemory(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback);

    /**
     * Cancels a request at the engine.
     * @param request Id of the request at the engine.
     * @param program Program whose memory it may hold. That memory is not released before the engine has responded to the cancel.
     */
    void cancel(const std::string &request, const ProgramId &program);

    /** Releases a program's memory and reports MemoryFreed. */
    void free(const ProgramId &program);

    /** Records that a program uses engine memory again, so that pending repetitions do not release it. */
    void markInUse(const ProgramId &program);

    /** Releases all memory. */
    void freeAll();

    /** Repeats requests that may have had no effect. Called when the engine is known to respond. */
    void repeatRequests();

private:
    /** State of the requests for one program. */
    struct Cleanup
    {
        unsigned pendingCancels{}; ///< Cancel requests without a response.
        bool releasePending{};     ///< True if the program's memory has to be released once all cancels have ended.
        bool released{};           ///< True if a release was requested, and the memory has not been used since.
        bool lateStartPossible{};  ///< True if a cancelled call may still reach the engine and occupy memory.
        TimePoint repeatUntil;     ///< Time until which the release is repeated.
    };

    void sendCancel(const std::string &request, const ProgramId &program, unsigned attempts);
    void onCancelDone(const ProgramId &program, bool foundAtEngine);
    void sendRelease(const ProgramId &program, bool report);
    void eraseIfDone(const ProgramId &program);

    BufferedRequests &m_requests;
    Duration m_timeLimit;
    GateEventCallback &m_callback;
    std::map<ProgramId, Cleanup> m_cleanups;
    bool m_freeAllPending = false;
};

} // namespace Vanillahall
