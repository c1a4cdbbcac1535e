/** What the tests of the adapters share: a loop with a client and one stand-in. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include "standin_server_base.h"

#include <functional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace Vanillahall {

constexpr Duration LongLimit = std::chrono::seconds(30);         ///< Never passes in a test that works.
constexpr Duration ShortLimit = std::chrono::milliseconds(300);  ///< Passes in tests of what never answers in time.
constexpr Duration AfterSlow = std::chrono::milliseconds(900);   ///< Later than the answer of a slow stand-in.
constexpr const char *SlowFault = R"({"kind":"slow","ms":700})"; ///< Later than ShortLimit.

/** Runs the loop until the condition holds. @return False if it doesn't within a long time. */
inline bool runUntil(Loop &loop, const std::function<bool()> &holds)
{
    const TimePoint end = Loop::now() + LongLimit;
    while (!holds() && Loop::now() < end) {
        loop.runOnce(std::chrono::milliseconds(10));
    }
    return holds();
}

/** Runs the loop for a while, so that whatever else comes would come. */
inline void runFor(Loop &loop, Duration span)
{
    const TimePoint end = Loop::now() + span;
    runUntil(loop, [end] {
        return Loop::now() >= end;
    });
}

/** Runs the loop until a late answer to the fault would have come. */
inline void runPastFault(Loop &loop, const std::string &fault)
{
    const bool late = fault.find("slow") != std::string::npos;
    runFor(loop, late ? AfterSlow : std::chrono::milliseconds(20));
}

/** One stand-in on a free port. */
template<typename Standin>
struct AdapterBench
{
    /** @param settings What the stand-in's constructor takes after address and port. */
    template<typename... Settings>
    explicit AdapterBench(Settings &&...settings)
        : standin(loop, "127.0.0.1", 0, std::forward<Settings>(settings)...)
        , http(loop)
    {
        Error reason;
        const auto port = standin.server().listen(reason);
        EXPECT_TRUE(port.has_value()) << reason.message;
        peer = PlatformPeer{"peer", "127.0.0.1", port.value_or(0), false, {}};
        standin.server().onCrash([this](HttpExchangeId exchange) {
            standin.server().http().abort(exchange);
        });
    }

    /** Switches a fault on; "absent" makes the adapter knock where nobody listens. */
    void setFault(const std::string &fault)
    {
        lastFault = fault;
        if (fault == "absent") {
            peer.port = 1;
        } else if (!fault.empty()) {
            standin.server().setFault(fault);
        }
    }

    /** Switches all faults off. */
    void clearFaults()
    {
        lastFault.clear();
        standin.server().clearFaults();
    }

    Loop loop;             ///< Of everything.
    Standin standin;       ///< The stand-in.
    HttpClient http;       ///< For the adapter.
    PlatformPeer peer;     ///< Where the stand-in listens.
    std::string lastFault; ///< The newest fault.
};

/** A server that answers everything with the same bytes. */
struct FixedServer
{
    FixedServer(Loop &loop, const std::string &address, std::uint16_t port, std::uint32_t status, const std::string &body)
        : m_server(loop,
                   address,
                   port,
                   {},
                   StandinServer::Handlers{[this, status, body](HttpExchangeId exchange, const HttpRequest & /*request*/) {
                                               m_server.answerText(exchange, body, status);
                                           },
                                           {},
                                           {}})
    {
    }

    StandinServer &server()
    {
        return m_server;
    }

private:
    StandinServer m_server;
};

} // namespace Vanillahall
