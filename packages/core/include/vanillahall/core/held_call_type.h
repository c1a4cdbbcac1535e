/** One call as a gate keeps it, from its order until it is settled. */
#pragma once

#include "vanillahall/core/gate_event_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Vanillahall {

/** A link that wants a call's output, and the attempt by which it knows the call. */
struct Subscriber
{
    LinkId link;     ///< Which connection.
    Attempt attempt; ///< Put into every message for it.
};

/** Where a stream from the engine stands. */
struct StreamProgress
{
    TimePoint lastActivity;            ///< Last sign of life.
    std::uint32_t resumeCount{};       ///< Tries to continue since the last new token.
    bool wasResumed{};                 ///< True once it was continued at least once.
    std::optional<TimePoint> resumeAt; ///< When to continue; unset while the stream is open.
};

/** Where a call's order stands among all orders of the same call. */
struct OrderRank
{
    Epoch epoch;     ///< Of the holder.
    Attempt attempt; ///< Of the order.

    bool operator==(const OrderRank &) const = default;
    auto operator<=>(const OrderRank &other) const
    {
        return std::tie(epoch, attempt) <=> std::tie(other.epoch, other.attempt);
    }
};

/** One call. */
struct RetainedCall
{
    CallKey key;                          ///< Which call.
    OrderRank rank;                       ///< Newest order for it.
    CustomerName customer;                ///< Who pays.
    ClassName className;                  ///< Class of the program.
    ContentHash content;                  ///< Fingerprint.
    Urgency urgency;                      ///< Of the newest order.
    Duration timeLimit{};                 ///< Longest run.
    std::optional<CallBody> body;         ///< What to run; handed over at the start.
    CallInput input;                      ///< The turn's own input; lets the next holder record the turn.
    WallTime submitted;                   ///< When the turn was submitted.
    bool isModelCall{};                   ///< True for a model call.
    bool isRepeatable{};                  ///< True for a model call and for a repeatable service call.
    std::uint32_t promptTokens{};         ///< Estimate; 0 for a service call.
    HeldState state = HeldState::Waiting; ///< How far it is.
    ServerCallId serverCall;              ///< Its number at the server, once started.
    std::vector<Subscriber> subscribers;  ///< Who gets its output.
    std::vector<std::string> tokens;      ///< Output so far.
    std::optional<CallOutcome> outcome;   ///< Set once it has ended.
    bool hasStarted{};                    ///< True once the server has begun it.
    bool wasFetched{};                    ///< True once the outcome was asked for after the end.
    bool eraseWhenFinished{};             ///< True if its program has ended and nobody wants the outcome.
    bool isOutcomeDropped{};              ///< True if the outcome was given up; only the run state is left.
    TimePoint acceptedAt;                 ///< When it was accepted.
    TimePoint startedAt;                  ///< When it was sent to the server.
    TimePoint firstTokenAt;               ///< When the first token came.
    TimePoint endedAt;                    ///< When it ended.
    StreamProgress stream;                ///< Of a model call.
};

/** An order that must not be accepted any more. */
struct OrderTombstone
{
    OrderRank rank;                         ///< This one and all earlier ones.
    ErrorCode code = ErrorCode::Overloaded; ///< Why.
    RunState run = RunState::NotRun;        ///< Whether the call ran.
    GateTime until;                         ///< After this no copy of the order is valid.
};

} // namespace Vanillahall
