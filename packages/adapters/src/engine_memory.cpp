#include "engine_memory_base.h"

#include "vanillahall/core/id_func.h"

#include <utility>

namespace Vanillahall {

namespace {

constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusNotFound = 404;
constexpr unsigned CancelAttempts = 3;                    ///< How often a cancel is sent, at most.
constexpr Duration CheckLimit = std::chrono::seconds(30); ///< A dropped call can reach the engine for this long.

/** @return The status, or 0 if there was no answer. */
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
    m_cleanups[program].cancels++;
    sendCancel(request, program, CancelAttempts);
}

void EngineMemory::sendCancel(const std::string &request, const ProgramId &program, unsigned attempts)
{
    auto done = [this, request, program, attempts](BufferedOutcome &&outcome) {
        const std::uint32_t status = statusOf(outcome);
        if (status == 0 && attempts > 1) {
            sendCancel(request, program, attempts - 1);
            return;
        }
        cancelDone(program, status == StatusOk);
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/requests/" + request, {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::cancelDone(const ProgramId &program, bool known)
{
    Cleanup &cleanup = m_cleanups[program];
    cleanup.cancels--;
    if (!known) {
        cleanup.doubtful = true;
        cleanup.checkUntil = Loop::now() + CheckLimit;
    }
    if (cleanup.cancels == 0 && std::exchange(cleanup.wanted, false)) {
        sendFree(program, true);
    }
    forgetIfDone(program);
}

void EngineMemory::free(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end()) {
        it->second.freed = true;
        it->second.wanted = it->second.cancels > 0;
    }
    if (it == m_cleanups.end() || !it->second.wanted) {
        sendFree(program, true);
    }
}

void EngineMemory::sendFree(const ProgramId &program, bool report)
{
    auto done = [this, program, report](BufferedOutcome &&outcome) {
        const std::uint32_t status = statusOf(outcome);
        if (report) {
            m_callback(MemoryFreed{program, status == StatusOk || status == StatusNotFound});
        }
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/pins/" + toText(program), {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::use(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end()) {
        it->second.doubtful = false;
        it->second.freed = false;
        forgetIfDone(program);
    }
}

void EngineMemory::freeAll()
{
    m_freeAllWanted = true;
    auto done = [this](BufferedOutcome &&outcome) {
        m_freeAllWanted = m_freeAllWanted && statusOf(outcome) != StatusOk;
    };
    m_requests.send(BufferedRequest{"DELETE", "/v1/pins", {}, {}, m_timeLimit, {}}, std::move(done));
}

void EngineMemory::repeat()
{
    if (m_freeAllWanted) {
        freeAll();
    }
    for (auto it = m_cleanups.begin(); it != m_cleanups.end();) {
        const auto &[program, cleanup] = *it++;
        if (cleanup.doubtful && cleanup.freed && cleanup.cancels == 0) {
            sendFree(program, false);
        }
    }
    std::erase_if(m_cleanups, [now = Loop::now()](const auto &it) {
        return it.second.cancels == 0 && (!it.second.doubtful || it.second.checkUntil < now);
    });
}

void EngineMemory::forgetIfDone(const ProgramId &program)
{
    const auto it = m_cleanups.find(program);
    if (it != m_cleanups.end() && it->second.cancels == 0 && !it->second.doubtful) {
        m_cleanups.erase(it);
    }
}

} // namespace Vanillahall
