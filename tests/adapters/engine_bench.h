/** Fixture of the EngineClient tests: an engine stand-in and its client. */
#pragma once

#include "vanillahall/adapters/engine_client_base.h"

#include "adapter_bench.h"
#include "engine_standin_base.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace Vanillahall {

inline constexpr ServerCallId Call{5};
inline constexpr ProgramId Program{ShardId{1}, 2};
inline constexpr std::uint32_t Tokens = 20;            ///< Tokens of each response.
inline constexpr const char *EngineRequestId = "77-5"; ///< Id of the request of `Call` at the engine.

inline StartServerCall callOf(const std::string &text = "hello")
{
    StartServerCall action;
    action.call = Call;
    action.key = CallKey{Program, Turn{3}};
    action.body = ModelCall{ModelName{"clapper"}, {R"({"role":"user","content":")" + text + R"("})"}, 10, Tokens};
    action.timeLimit = LongLimit;
    return action;
}

/** An engine stand-in and its client. */
struct EngineBench : AdapterBench<EngineStandin>
{
    explicit EngineBench(Duration step = std::chrono::microseconds(500))
        : AdapterBench(settingsWithDecodeTime(step))
    {
    }

    static EngineStandinSettings settingsWithDecodeTime(Duration perToken)
    {
        EngineStandinSettings settings;
        settings.decodePerToken = perToken;
        return settings;
    }

    /** Creates a client that reports its events to this fixture. */
    std::unique_ptr<EngineClient> makeClient(Duration idleTimeout = LongLimit)
    {
        EngineClientSettings settings;
        settings.peer = peer;
        settings.incarnation = Incarnation{77};
        settings.idleTimeout = idleTimeout;
        settings.controlTimeout = LongLimit;
        return std::make_unique<EngineClient>(http, settings, [this](GateEvent &&event) {
            take(std::move(event));
        });
    }

    /** Runs the loop until the call has finished or failed `n` times. */
    bool waitForEnds(std::size_t n = 1)
    {
        return runUntil(loop, [this, n] {
            return endEvents.size() >= n;
        });
    }

    /** Runs the loop until at least `n` tokens have been received. */
    bool waitForTokens(std::size_t n)
    {
        return runUntil(loop, [this, n] {
            return pieces.size() >= n;
        });
    }

    std::vector<std::string> pieces;    ///< Tokens by index.
    std::vector<GateEvent> endEvents;   ///< ServerCallFinished and ServerCallFailed.
    std::vector<GateEvent> otherEvents; ///< ServerLoad and MemoryFreed.
    int startedCount = 0;               ///< Number of ServerCallStarted events.

private:
    void take(GateEvent &&event)
    {
        if (const auto *tokens = std::get_if<ServerTokensReceived>(&event)) {
            EXPECT_LE(tokens->firstToken, pieces.size()) << "a token is missing";
            pieces.resize(tokens->firstToken);
            pieces.insert(pieces.end(), tokens->pieces.begin(), tokens->pieces.end());
        } else if (std::holds_alternative<ServerCallStarted>(event)) {
            startedCount++;
        } else if (std::holds_alternative<ServerCallFinished>(event) || std::holds_alternative<ServerCallFailed>(event)) {
            endEvents.push_back(std::move(event));
        } else {
            otherEvents.push_back(std::move(event));
        }
    }
};

/** @return The text that an engine without faults generates. */
inline std::string expectedText()
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->start(callOf());
    EXPECT_TRUE(bench.waitForEnds());
    return std::get<ServerCallFinished>(bench.endEvents.front()).result.body;
}

inline std::string joined(const std::vector<std::string> &pieces)
{
    std::string text;
    for (const auto &it : pieces) {
        text += it;
    }
    return text;
}

} // namespace Vanillahall
