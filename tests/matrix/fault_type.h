/** The steps of a program and the faults that the matrix injects at them. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Vanillahall {

/** The step of a program at which a fault is injected. */
enum class MatrixStep : std::uint8_t {
    Create,                    ///< The program is being created.
    ModelBeforeStart,          ///< The order of a model call was sent to its gate.
    ModelInStream,             ///< A model call has generated some tokens.
    ModelFinishedNotDurable,   ///< A model call has ended at its gate.
    ServiceBeforeIntent,       ///< A service call was submitted.
    ServiceIntentNotSent,      ///< The intent is in the store; the order has not been sent.
    ServiceRunning,            ///< The service has started the call.
    ServiceFinishedNotDurable, ///< The service call has ended at its gate.
    End,                       ///< The program is being ended.
    TakeoverLoading,           ///< A second entry is taking over the shard.
    CommitInFlight,            ///< The write of a finished turn was sent to the store.
    PlannedStop,               ///< The holder is in a planned stop.
};

/** An injected fault. */
enum class MatrixFault : std::uint8_t {
    HolderDies,         ///< The holder's process is killed.
    HolderPaused,       ///< The holder is paused for longer than its lease, then resumes.
    GateRestarts,       ///< The gate's process is killed and restarted after 1 s.
    BackendRestarts,    ///< The engine or service crashes and is available again after 1 s.
    StoreDown,          ///< The store does not reply for 20 s.
    StoreSlow,          ///< The store takes 600 ms per reply for 20 s.
    AnswerLost,         ///< For 1 s, writes take effect but their replies are lost.
    WriteDelayed,       ///< The holder's writes take effect 8 s late, and the holder is killed.
    LinkSilent,         ///< The link between holder and gate loses all messages without being closed.
    LinkCut,            ///< The link between holder and gate is broken.
    OrderDelayed,       ///< Messages from the holder to gates arrive 15 s late, and the holder is killed.
    OrderLate,          ///< Messages from the holder to gates arrive 4 s late, after a takeover, and the holder is killed.
    GateCutOff,         ///< Only the holder can reach the gate for 8 s.
    AnswerDoubled,      ///< For 10 s, messages from gates arrive twice, the second time 70 ms late.
    ToolHangs,          ///< Calls at the backend server make no progress for 40 s.
    EngineIgnoresOrders ///< Engines ignore cancels and the first two requests to free memory.
};

/** A step with its name. */
struct NamedStep
{
    MatrixStep step;       ///< The step.
    std::string_view name; ///< For test names.
};

/** One fault or two at once, with their name. */
struct NamedFaults
{
    MatrixFault first;     ///< Injected at the step.
    MatrixFault second;    ///< Injected 20 ms later; equal to `first` if there is only one.
    std::string_view name; ///< For test names.
};

inline constexpr std::array AllSteps{
    NamedStep{MatrixStep::Create, "Create"},
    NamedStep{MatrixStep::ModelBeforeStart, "ModelBeforeStart"},
    NamedStep{MatrixStep::ModelInStream, "ModelInStream"},
    NamedStep{MatrixStep::ModelFinishedNotDurable, "ModelFinishedNotDurable"},
    NamedStep{MatrixStep::ServiceBeforeIntent, "ServiceBeforeIntent"},
    NamedStep{MatrixStep::ServiceIntentNotSent, "ServiceIntentNotSent"},
    NamedStep{MatrixStep::ServiceRunning, "ServiceRunning"},
    NamedStep{MatrixStep::ServiceFinishedNotDurable, "ServiceFinishedNotDurable"},
    NamedStep{MatrixStep::End, "End"},
    NamedStep{MatrixStep::TakeoverLoading, "TakeoverLoading"},
    NamedStep{MatrixStep::CommitInFlight, "CommitInFlight"},
    NamedStep{MatrixStep::PlannedStop, "PlannedStop"},
};

constexpr NamedFaults single(MatrixFault fault, std::string_view name)
{
    return NamedFaults{fault, fault, name};
}

inline constexpr std::array AllFaults{
    single(MatrixFault::HolderDies, "HolderDies"),
    single(MatrixFault::HolderPaused, "HolderPaused"),
    single(MatrixFault::GateRestarts, "GateRestarts"),
    single(MatrixFault::BackendRestarts, "BackendRestarts"),
    single(MatrixFault::StoreDown, "StoreDown"),
    single(MatrixFault::StoreSlow, "StoreSlow"),
    single(MatrixFault::AnswerLost, "AnswerLost"),
    single(MatrixFault::WriteDelayed, "WriteDelayed"),
    single(MatrixFault::LinkSilent, "LinkSilent"),
    single(MatrixFault::LinkCut, "LinkCut"),
    single(MatrixFault::OrderDelayed, "OrderDelayed"),
    single(MatrixFault::OrderLate, "OrderLate"),
    single(MatrixFault::GateCutOff, "GateCutOff"),
    single(MatrixFault::AnswerDoubled, "AnswerDoubled"),
    single(MatrixFault::ToolHangs, "ToolHangs"),
    single(MatrixFault::EngineIgnoresOrders, "EngineIgnoresOrders"),
    NamedFaults{MatrixFault::HolderDies, MatrixFault::StoreDown, "HolderDiesStoreDown"},
    NamedFaults{MatrixFault::HolderDies, MatrixFault::GateRestarts, "HolderDiesGateRestarts"},
    NamedFaults{MatrixFault::HolderPaused, MatrixFault::AnswerLost, "HolderPausedAnswerLost"},
    NamedFaults{MatrixFault::GateRestarts, MatrixFault::StoreDown, "GateRestartsStoreDown"},
    NamedFaults{MatrixFault::LinkSilent, MatrixFault::HolderPaused, "LinkSilentHolderPaused"},
    NamedFaults{MatrixFault::BackendRestarts, MatrixFault::HolderDies, "BackendRestartsHolderDies"},
    NamedFaults{MatrixFault::AnswerDoubled, MatrixFault::LinkCut, "AnswerDoubledLinkCut"},
    NamedFaults{MatrixFault::OrderDelayed, MatrixFault::HolderDies, "OrderDelayedHolderDies"},
    NamedFaults{MatrixFault::OrderDelayed, MatrixFault::HolderPaused, "OrderDelayedHolderPaused"},
    NamedFaults{MatrixFault::OrderLate, MatrixFault::GateCutOff, "OrderLateGateCutOff"},
};

} // namespace Vanillahall
