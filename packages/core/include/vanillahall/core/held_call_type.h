/** State of a call at a gate, from its order until it is settled. */
#pragma once

#include "vanillahall/core/gate_event_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Vanillahall {

/** A link that receives a call's output, and the attempt under which it ordered the call. */
struct Subscriber
{
    LinkId link;     ///< Which connection.
    Attempt attempt; ///< Attempt number in every message to it.
};

/** Progress of a stream from the engine. */
struct StreamProgress
{
    TimePoint lastActivity;            ///< Time of the last start, resume or message.
    std::uint32_t resumeCount{};       ///< Resumes since the last new token.
    bool wasResumed{};                 ///< True once it was resumed at least once.
    std::optional<TimePoint> resumeAt; ///< Time of the scheduled resume; unset while the stream is open.
};

/** Rank of an order among all orders of the same call. */
struct OrderRank
{
    Epoch epoch;     ///< Epoch of the holder.
    Attempt attempt; ///< Attempt number of the order.

    bool operator==(const OrderRank &) const = default;
    auto operator<=>(const OrderRank &other) const
    {
        return std::tie(epoch, attempt) <=> std::tie(other.epoch, other.attempt);
    }
};

/** A call that waits, runs or has finished at the gate. */
struct RetainedCall
{
    CallKey key;                          ///< Which call.
    OrderRank rank;                       ///< Rank of its newest order.
    CustomerName customer;                ///< Customer of the program.
    ClassName className;                  ///< Class of the program.
    ContentHash content;                  ///< Fingerprint of the content.
    Urgency urgency;                      ///< Urgency in the newest order.
    Duration timeLimit{};                 ///< Maximum run time.
    std::optional<CallBody> body;         ///< What to run; moved out at the start.
    CallInput input;                      ///< The turn's own input; lets the next holder record the turn.
    WallTime submitted;                   ///< When the turn was submitted.
    bool isModelCall{};                   ///< True for a model call.
    bool isRepeatable{};                  ///< True for a model call and for a repeatable service call.
    std::uint32_t promptTokens{};         ///< Estimate; 0 for a service call.
    HeldState state = HeldState::Waiting; ///< Current state.
    ServerCallId serverCall;              ///< Its ID at the server, assigned when it is sent there.
    std::vector<Subscriber> subscribers;  ///< Links that receive its output.
    std::vector<std::string> tokens;      ///< Output so far.
    std::optional<CallOutcome> outcome;   ///< Set once it has ended.
    bool hasStarted{};                    ///< True once the server has started it.
    bool wasFetched{};                    ///< True once the outcome was fetched after the end.
    bool eraseWhenFinished{};             ///< True if its program has ended, so that its outcome is not needed.
    bool isOutcomeDropped{};              ///< True if the outcome was dropped; only the run state is retained.
    TimePoint acceptedAt;                 ///< When it was accepted.
    TimePoint startedAt;                  ///< When it was sent to the server.
    TimePoint firstTokenAt;               ///< When the first token was received.
    TimePoint endedAt;                    ///< When it ended.
    StreamProgress stream;                ///< Stream of a model call.
};

/** Tombstone of an order that must not be accepted any more. */
struct OrderTombstone
{
    OrderRank rank;                         ///< Applies to orders up to this rank.
    ErrorCode code = ErrorCode::Overloaded; ///< Error code of the refusal.
    RunState run = RunState::NotRun;        ///< Whether the call ran.
    GateTime until;                         ///< After this no copy of the order is valid.
};

} // namespace Vanillahall
