/** Streams from servers that fail at any byte, refuse requests, or resume before the last event that the client has. */
#include "proxy_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall::Forward {

namespace {

constexpr int Events = 5; ///< Number of events of a complete stream.

/** Behavior of a server for one attempt. */
struct Attempt
{
    bool refuses = false;  ///< True to respond that the request didn't run.
    bool resets = false;   ///< True to fail by a reset instead of a close.
    int again = 0;         ///< Number of events to repeat before the first new one.
    std::size_t bytes = 0; ///< Bytes of the response to send before failing; the complete response if it is shorter.
};

int eventNumber(const std::string &request, const std::string &name)
{
    const auto at = request.find("\r\n" + name + ": ");
    return at == std::string::npos ? 0 : std::stoi(request.substr(at + name.size() + 4));
}

Script scriptOf(const Attempt &attempt, const std::string &request)
{
    if (attempt.refuses) {
        return {"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    }
    std::string text = streamHead();
    for (int n = std::max(1, eventNumber(request, "Last-Event-Id") + 1 - attempt.again); n <= Events; n++) {
        text += eventChunk(n);
    }
    text += "0\r\n\r\n";
    const bool dies = attempt.bytes < text.size();
    return {text.substr(0, attempt.bytes), dies && !attempt.resets, dies && attempt.resets};
}

/** @return Ids of the events in a response; nothing if an event is incomplete. */
std::optional<std::vector<int>> eventsOf(const std::string &answer)
{
    std::vector<int> numbers;
    constexpr std::string_view Begin = "id: ";
    for (auto at = answer.find(Begin); at != std::string::npos; at = answer.find(Begin, at + 1)) {
        const int number = std::stoi(answer.substr(at + Begin.size()));
        if (answer.substr(at, answer.find("\n\n", at) - at) != "id: " + std::to_string(number) + "\ndata: e") {
            return std::nullopt;
        }
        numbers.push_back(number);
    }
    return numbers;
}

Attempt attemptOf()
{
    constexpr std::size_t MostBytes = 400;
    Attempt attempt;
    attempt.refuses = *rc::gen::inRange(0, 5) == 0;
    attempt.resets = *rc::gen::arbitrary<bool>();
    attempt.again = *rc::gen::inRange(0, 3);
    attempt.bytes = *rc::gen::inRange<std::size_t>(0, MostBytes);
    return attempt;
}

} // namespace

RC_GTEST_PROP(ProxyStreamProperty, EachEventArrivesOnceInOrderAndOnlyACompleteStreamLooksComplete, ())
{
    std::vector<Attempt> attempts;
    attempts.reserve(4);
    for (int n = 0; n < 4; n++) {
        attempts.push_back(attemptOf());
    }
    const bool canResume = *rc::gen::arbitrary<bool>();
    std::size_t requestCount = 0;
    std::size_t ran = 0;
    ProxyWorld world([&](const std::string &request) {
        const auto &attempt = attempts[std::min(requestCount++, attempts.size() - 1)];
        ran += attempt.refuses ? 0 : 1;
        return scriptOf(attempt, request);
    });
    RC_ASSERT(world.start());
    const auto answer = world.ask(ProxyWorld::request("POST", canResume ? "/resumed/1" : "/stream/1", "r1"));
    const auto events = eventsOf(answer);
    RC_ASSERT(events.has_value());
    for (std::size_t n = 0; n < events->size(); n++) {
        RC_ASSERT((*events)[n] == static_cast<int>(n) + 1);
    }
    const bool looksWhole = answer.find("\r\n0\r\n\r\n") != std::string::npos;
    RC_ASSERT(!looksWhole || events->size() == static_cast<std::size_t>(Events));
    RC_ASSERT(answer.find("HTTP/1.1") == answer.rfind("HTTP/1.1"));
    RC_ASSERT(ran <= (canResume ? 2U : 1U));
    // Status 503 means that the request didn't run.
    RC_ASSERT(statusOf(answer) != 503U || ran == 0U);
}

} // namespace Vanillahall::Forward
