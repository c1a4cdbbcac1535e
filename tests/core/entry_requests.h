/** Helpers to make requests and read answers in tests of entries. */
#pragma once

#include "entry_testbed.h"

#include <string>

namespace Vanillahall {

inline CreateProgram createRequest(Budget budget = Budget{100000, 100, 1h})
{
    CreateProgram body;
    body.className = ClassName{"urgent"};
    body.budget = budget;
    return body;
}

inline SubmitCall modelTurn(const ProgramId &program, std::uint32_t turn, const std::string &text = "ring")
{
    ModelInput input;
    input.model = ModelName{"bell"};
    input.messages = {R"({"role":"user","content":")" + text + R"("})"};
    input.maxTokens = 100;
    return SubmitCall{CallKey{program, Turn{turn}}, input, contentHash(text)};
}

inline SubmitCall serviceTurn(const ProgramId &program, std::uint32_t turn, bool repeatable, const std::string &text = "collect")
{
    ServiceCall input{ServiceName{"courier"}, "orders", text, repeatable};
    return SubmitCall{CallKey{program, Turn{turn}}, input, contentHash(text)};
}

inline ProgramId createProgram(EntryTestbed &testbed, const std::string &entry = "a", Budget budget = Budget{100000, 100, 1h})
{
    const CallerAnswer answer = testbed.await(testbed.sendRequest(entry, createRequest(budget)));
    return std::holds_alternative<ProgramAccepted>(answer) ? std::get<ProgramAccepted>(answer).program : ProgramId();
}

/** @return The result in an answer; an empty one if there is none. */
inline CallResult resultIn(const CallerAnswer &answer)
{
    const auto *answered = std::get_if<CallAnswered>(&answer);
    const auto *result = answered == nullptr ? nullptr : std::get_if<CallResult>(&answered->outcome);
    return result == nullptr ? CallResult() : *result;
}

/** @return The error in an answer; one with code Internal if there is none. */
inline Error errorIn(const CallerAnswer &answer)
{
    if (const auto *answered = std::get_if<CallAnswered>(&answer)) {
        const Error *error = std::get_if<Error>(&answered->outcome);
        return error == nullptr ? Error() : *error;
    }
    const auto *error = std::get_if<Error>(&answer);
    return error == nullptr ? Error() : *error;
}

} // namespace Vanillahall
