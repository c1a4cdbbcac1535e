/** Simulated model engine or plain service with a fake clock. */
#pragma once

#include "vanillahall/core/gate_base.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Vanillahall {

using namespace std::chrono_literals;

constexpr std::uint32_t AnswerTokens = 20; ///< Length of every generated text.

/** @return The text of one generated token; names its program and turn. */
inline std::string tokenText(const CallKey &key, std::uint32_t index)
{
    return "p" + std::to_string(key.program.serial) + "t" + std::to_string(key.turn.value) + "." + std::to_string(index) + " ";
}

/** @return The complete text that an engine generates for a call. */
inline std::string wholeText(const CallKey &key)
{
    std::string text;
    for (std::uint32_t n = 0; n < AnswerTokens; n++) {
        text += tokenText(key, n);
    }
    return text;
}

/** The backend server behind one gate. It does not check fences. */
class BackendModel
{
public:
    bool up = true;                            ///< False while its process is down.
    bool hangs = false;                        ///< Calls make no progress.
    bool ignoresCancel = false;                ///< Cancels have no effect.
    int ignoredFrees = 0;                      ///< Number of further requests to free memory that fail.
    std::uint64_t run = 1;                     ///< Incremented at every crash.
    std::set<ProgramId> pins;                  ///< Programs with pinned memory.
    std::map<CallKey, int> starts;             ///< How often each call was started.
    std::vector<StartServerCall> startedCalls; ///< Every started call, in order.

    /** Starts a call. @return The events that its gate receives: started, or failed if the process is down. */
    std::vector<GateEvent> start(const StartServerCall &order, TimePoint now)
    {
        if (!up) {
            return {ServerCallFailed{order.call, ServerFailure::NotSent, "no connection"}};
        }
        starts[order.key]++;
        startedCalls.push_back(order);
        const bool model = std::holds_alternative<ModelCall>(order.body);
        if (model) {
            pins.insert(order.key.program);
        }
        m_calls[order.call] = Running{order.key, model, 0, now, now + order.timeLimit};
        return {ServerCallStarted{order.call}};
    }

    std::vector<GateEvent> resume(const ResumeServerCall &order)
    {
        const auto it = m_calls.find(order.call);
        if (!up) {
            return {ServerCallFailed{order.call, ServerFailure::NotSent, "no connection"}};
        }
        if (it == m_calls.end()) {
            return {ServerCallFailed{order.call, ServerFailure::Refused, "no such stream"}};
        }
        it->second.sent = order.fromToken;
        return {};
    }

    void cancel(ServerCallId call)
    {
        if (!ignoresCancel) {
            m_calls.erase(call);
        }
    }

    /** @return True if the memory was freed. */
    bool free(const ProgramId &program)
    {
        if (!up || ignoredFrees > 0) {
            ignoredFrees -= ignoredFrees > 0 ? 1 : 0;
            return false;
        }
        pins.erase(program);
        return true;
    }

    /** Ends the process with all calls and pins. @return The events that its gate receives. */
    std::vector<GateEvent> crash()
    {
        std::vector<GateEvent> events;
        for (const auto &[id, call] : m_calls) {
            events.emplace_back(ServerCallFailed{id, ServerFailure::Broken, "connection broken"});
        }
        m_calls.clear();
        pins.clear();
        run++;
        up = false;
        return events;
    }

    /** Drops the calls of a gate that has failed: their results have no receiver. Pins are retained. */
    void detachGate()
    {
        m_calls.clear();
    }

    /** Advances all calls to a time. @return The events that its gate receives. */
    std::vector<GateEvent> advance(TimePoint now)
    {
        std::vector<GateEvent> events;
        if (!up) {
            return events;
        }
        std::vector<ServerCallId> done;
        for (auto &[id, call] : m_calls) {
            if (now >= call.deadline) {
                events.emplace_back(ServerCallFailed{id, ServerFailure::Silent, "time limit"});
                done.push_back(id);
            } else if (!hangs && advanceCall(id, call, now, events)) {
                done.push_back(id);
            }
        }
        for (const ServerCallId id : done) {
            m_calls.erase(id);
        }
        return events;
    }

    [[nodiscard]] ServerLoad load() const
    {
        return ServerLoad{up, static_cast<std::uint32_t>(m_calls.size()), 8, 0, 100000, {ModelName{"bell"}}, run};
    }

    /** @return The largest number of tokens that a running call has generated. */
    [[nodiscard]] std::uint32_t progress() const
    {
        std::uint32_t most = 0;
        for (const auto &[id, call] : m_calls) {
            most = std::max(most, call.sent);
        }
        return most;
    }

private:
    /** One call. */
    struct Running
    {
        CallKey key;
        bool model{};
        std::uint32_t sent{};
        TimePoint since;
        TimePoint deadline;
    };

    /** @return True if the call has ended. */
    static bool advanceCall(ServerCallId id, Running &call, TimePoint now, std::vector<GateEvent> &events)
    {
        CallResult result;
        result.status = 200;
        if (!call.model) {
            result.body = "done " + tokenText(call.key, 0);
            if (now - call.since < 500ms) {
                return false;
            }
            events.emplace_back(ServerCallFinished{id, result});
            return true;
        }
        const auto generated = static_cast<std::uint32_t>((now - call.since) / 40ms);
        for (; call.sent < std::min(generated, AnswerTokens); call.sent++) {
            events.emplace_back(ServerTokensReceived{id, call.sent, {tokenText(call.key, call.sent)}});
        }
        if (call.sent < AnswerTokens) {
            return false;
        }
        result.body = wholeText(call.key);
        result.finishReason = "stop";
        result.promptTokens = 30;
        result.completionTokens = AnswerTokens;
        events.emplace_back(ServerCallFinished{id, result});
        return true;
    }

    std::map<ServerCallId, Running> m_calls;
};

} // namespace Vanillahall
