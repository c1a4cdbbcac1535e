#include "engine_memory_base.h"

#include "vanillahall/core/id_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNotFound = 404;
constexpr unsigned MaxCancelAttempts = 3;                     ///< Maximum number of times a cancel is sent.
constexpr Duration LateStartGrace = std::chrono::seconds(30); ///< Time in which a cancelled call can still reach the engine.

/** @return The HTTP status, or 0 if there was no response. */
std::uint32_t statusOf(const BufferedOutcome &outcome)
{
    const auto *answer = std::get_if<BufferedAnswer>(&outcome);
    return answer == nullptr ? 0 : answer->status;
}

} // namespace

EngineMemory::EngineMemory(BufferedRequests &requests, Duration timeLimit, GateEventCallback &callback)
    : m_requests(requests)
    , m_timeLimit(timeLimit)
    , m_callback(callback)
{
}

void EngineMemory::cancel(const std::string &request, const ProgramId &program)
{
    m_cleanups[program].pendingCancels++;
    sendCancel(request, program, MaxCancelAttempts);
}

void EngineMemory::sendCancel(const std::string &request, const ProgramId &program, unsigned attempts)
{
    auto done = [this, request, program, attempts](BufferedOutcome &&outcome) {
        const std::uint32_t status = statusOf(outcome);
        if (status == 0 && attempts > 1) {
            sendCancel(request, program, attempts - 1);
            return;
        }
        onCancelDone(program, status == StatusOk);
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/requests/" + request, {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::onCancelDone(const ProgramId &program, bool foundAtEngine)
{
    Cleanup &cleanup = m_cleanups[program];
    cleanup.pendingCancels--;
    if (!foundAtEngine) {
        cleanup.lateStartPossible = true;
        cleanup.repeatUntil = Loop::now() + LateStartGrace;
    }
    if (cleanup.pendingCancels == 0 && std::exchange(cleanup.releasePending, false)) {
        sendRelease(program, true);
    }
    eraseIfDone(program);
}

void EngineMemory::free(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end()) {
        it->second.released = true;
        it->second.releasePending = it->second.pendingCancels > 0;
    }
    if (it == m_cleanups.end() || !it->second.releasePending) {
        sendRelease(program, true);
    }
}

void EngineMemory::sendRelease(const ProgramId &program, bool report)
{
    auto done = [this, program, report](BufferedOutcome &&outcome) {
        const std::uint32_t status = statusOf(outcome);
        if (report) {
            m_callback(MemoryFreed{program, status == StatusOk || status == StatusNotFound});
        }
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/pins/" + toText(program), {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::markInUse(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end()) {
        it->second.lateStartPossible = false;
        it->second.released = false;
        eraseIfDone(program);
    }
}

void EngineMemory::freeAll()
{
    m_freeAllPending = true;
    auto done = [this](BufferedOutcome &&outcome) {
        m_freeAllPending = m_freeAllPending && statusOf(outcome) != StatusOk;
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/pins", {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::repeatRequests()
{
    if (m_freeAllPending) {
        freeAll();
    }
    for (auto it = m_cleanups.begin(); it != m_cleanups.end();) {
        const auto &[program, cleanup] = *it++;
        if (cleanup.lateStartPossible && cleanup.released && cleanup.pendingCancels == 0) {
            sendRelease(program, false);
        }
    }
    std::erase_if(m_cleanups, [now = Loop::now()](const auto &it) {
        return it.second.pendingCancels == 0 && (!it.second.lateStartPossible || it.second.repeatUntil < now);
    });
}

void EngineMemory::eraseIfDone(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end() && it->second.pendingCancels == 0 && !it->second.lateStartPossible) {
        m_cleanups.erase(it);
    }
}

} // namespace Vanillahall
