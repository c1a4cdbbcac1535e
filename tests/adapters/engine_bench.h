/** An engine stand-in with its adapter, for the tests of EngineClient. */
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
inline constexpr std::uint32_t Tokens = 20;        ///< Tokens of each answer.
inline constexpr const char *RequestName = "77-5"; ///< Of `Call` at the engine.

inline StartServerCall callOf(const std::string &text = "hello")
{
    StartServerCall action;
    action.call = Call;
    action.key = CallKey{Program, Turn{3}};
    action.body = ModelCall{ModelName{"clapper"}, {R"({"role":"user","content":")" + text + R"("})"}, 10, Tokens};
    action.timeLimit = LongLimit;
    return action;
}

/** An engine with its adapter. */
struct EngineBench : AdapterBench<EngineStandin>
{
    explicit EngineBench(Duration step = std::chrono::microseconds(500))
        : AdapterBench(settingsOf(step))
    {
    }

    static EngineStandinSettings settingsOf(Duration step)
    {
        EngineStandinSettings settings;
        settings.decodePerToken = step;
        return settings;
    }

    /** Makes an adapter, which tells its events to this bench. */
    std::unique_ptr<EngineClient> makeClient(Duration silence = LongLimit)
    {
        EngineClientSettings settings;
        settings.peer = peer;
        settings.incarnation = Incarnation{77};
        settings.inactivityTimeout = silence;
        settings.controlTimeLimit = LongLimit;
        return std::make_unique<EngineClient>(http, settings, [this](GateEvent &&event) {
            take(std::move(event));
        });
    }

    /** Runs until the call has ended `n` times, by an answer or a failure. */
    bool waitForEnds(std::size_t n = 1)
    {
        return runUntil(loop, [this, n] {
            return ends.size() >= n;
        });
    }

    /** Runs until the call has given at least `n` tokens. */
    bool waitForTokens(std::size_t n)
    {
        return runUntil(loop, [this, n] {
            return pieces.size() >= n;
        });
    }

    std::vector<std::string> pieces; ///< Tokens by index.
    std::vector<GateEvent> ends;     ///< ServerCallFinished and ServerCallFailed.
    std::vector<GateEvent> others;   ///< ServerLoad and MemoryFreed.
    int begins = 0;                  ///< ServerCallStarted.

private:
    void take(GateEvent &&event)
    {
        if (const auto *tokens = std::get_if<ServerTokensReceived>(&event)) {
            EXPECT_LE(tokens->firstToken, pieces.size()) << "a token is missing";
            pieces.resize(tokens->firstToken);
            pieces.insert(pieces.end(), tokens->pieces.begin(), tokens->pieces.end());
        } else if (std::holds_alternative<ServerCallStarted>(event)) {
            begins++;
        } else if (std::holds_alternative<ServerCallFinished>(event) || std::holds_alternative<ServerCallFailed>(event)) {
            ends.push_back(std::move(event));
        } else {
            others.push_back(std::move(event));
        }
    }
};

/** @return The text that a healthy engine gives. */
inline std::string expectedText()
{
    EngineBench bench;
    const auto client = bench.makeClient();
    client->start(callOf());
    EXPECT_TRUE(bench.waitForEnds());
    return std::get<ServerCallFinished>(bench.ends.front()).result.body;
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
