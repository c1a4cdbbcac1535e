/** Cancels calls and releases memory at an engine. */
#pragma once

#include "buffered_request_base.h"
#include "load_poll_base.h"

#include <map>
#include <string>

namespace Vanillahall {

/** The clean-up requests to one engine. */
class EngineMemory
{
public:
    /** @param timeLimit Longest time for one request. @param callback Gets MemoryFreed. @pre Both references outlive this. */
    EngineMemory(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback);

    /**
     * Cancels a request at the engine.
     * @param request Its name there.
     * @param program Whose memory it may hold. That memory is released after the engine has answered.
     */
    void cancel(const std::string &request, const ProgramId &program);

    /** Releases a program's memory and reports MemoryFreed. */
    void free(const ProgramId &program);

    /** Notes that a program uses memory again, so that it is not released once more. */
    void use(const ProgramId &program);

    /** Releases all memory. */
    void freeAll();

    /** Repeats what may not have worked: call it when the engine is known to answer. */
    void repeat();

private:
    /** What is being cleaned up for a program. */
    struct Cleanup
    {
        unsigned cancels{};   ///< Cancel requests without an answer.
        bool wanted{};        ///< Its memory is to be released when they are answered.
        bool freed{};         ///< Its memory was to be released and was not used since.
        bool doubtful{};      ///< A dropped call may still reach the engine and hold memory.
        TimePoint checkUntil; ///< Until when memory is released again and again.
    };

    void sendCancel(const std::string &request, const ProgramId &program, unsigned attempts);
    void cancelDone(const ProgramId &program, bool known);
    void sendFree(const ProgramId &program, bool report);
    void forgetIfDone(const ProgramId &program);

    BufferedRequests &m_requests;
    Duration m_timeLimit;
    GateEventCallback &m_callback;
    std::map<ProgramId, Cleanup> m_cleanups;
    bool m_freeAllWanted = false;
};

} // namespace Vanillahall
