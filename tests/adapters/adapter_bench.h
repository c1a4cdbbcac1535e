/** Fixture of the adapter tests: an event loop with an HTTP client and one stand-in server. */
#pragma once

#include "vanillahall/adapters/port_type.h"
#include "vanillahall/net/http_client_base.h"

#include "standin_server_base.h"

#include <functional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace Vanillahall {

constexpr Duration LongLimit = std::chrono::seconds(30);             ///< Not reached in a passing test.
constexpr Duration ShortLimit = std::chrono::milliseconds(300);      ///< Time-out in tests of responses that are late or missing.
constexpr Duration AfterSlowAnswer = std::chrono::milliseconds(900); ///< Longer than the delay of SlowFault.
constexpr const char *SlowFault = R"({"kind":"slow","ms":700})";     ///< Delays the response beyond ShortLimit.

/** Runs the loop until the condition holds. @return False if it does not hold within LongLimit. */
inline bool runUntil(Loop &loop, const std::function<bool()> &holds)
{
    const TimePoint end = Loop::now() + LongLimit;
    while (!holds() && Loop::now() < end) {
        loop.runOnce(std::chrono::milliseconds(10));
    }
    return holds();
}

/** Runs the loop for a fixed time, so that unexpected further events would arrive. */
inline void runFor(Loop &loop, Duration span)
{
    const TimePoint end = Loop::now() + span;
    runUntil(loop, [end] {
        return Loop::now() >= end;
    });
}

/** Runs the loop until a response delayed by the fault would have arrived. */
inline void runUntilFaultIsOver(Loop &loop, const std::string &fault)
{
    const bool late = fault.find("slow") != std::string::npos;
    runFor(loop, late ? AfterSlowAnswer : std::chrono::milliseconds(20));
}

/** A stand-in server on a free port. */
template<typename Standin>
struct AdapterBench
{
    /** @param settings Arguments of the stand-in's constructor after address and port. */
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

    /** Enables a fault; "absent" makes the adapter connect to a port without a listener. */
    void setFault(const std::string &fault)
    {
        lastFault = fault;
        if (fault == "absent") {
            peer.port = 1;
        } else if (!fault.empty()) {
            standin.server().setFault(fault);
        }
    }

    /** Disables all faults. */
    void clearFaults()
    {
        lastFault.clear();
        standin.server().clearFaults();
    }

    Loop loop;             ///< Event loop of client and stand-in.
    Standin standin;       ///< Stand-in server.
    HttpClient http;       ///< HTTP client of the adapter.
    PlatformPeer peer;     ///< Address of the stand-in.
    std::string lastFault; ///< Fault that was enabled last.
};

/** A server that sends the same response to every request. */
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
