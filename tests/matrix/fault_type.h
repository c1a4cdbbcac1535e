/** The steps of a program and the faults that may strike at them. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Vanillahall {

/** Where in a program a fault strikes. */
enum class MatrixStep : std::uint8_t {
    Create,                    ///< The program is being created.
    ModelBeforeStart,          ///< A model call is on its way to its gate.
    ModelInStream,             ///< A model call has generated some tokens.
    ModelFinishedNotDurable,   ///< A model call has ended at its gate.
    ServiceBeforeIntent,       ///< A service call was submitted.
    ServiceIntentNotSent,      ///< The intent is in the store, the order isn't sent.
    ServiceRunning,            ///< The service has begun the call.
    ServiceFinishedNotDurable, ///< The service call has ended at its gate.
    End,                       ///< The program is being ended.
    TakeoverLoading,           ///< A second entry takes the shard over.
    CommitInFlight,            ///< The write of a finished turn is on its way.
    PlannedStop,               ///< The holder is on a planned stop.
};

/** What goes wrong. */
enum class MatrixFault : std::uint8_t {
    HolderDies,         ///< The holder's process ends.
    HolderPaused,       ///< The holder stands still past its lease and wakes.
    GateRestarts,       ///< The gate's process ends; a new one comes after a second.
    BackendRestarts,    ///< The engine or service dies; it is back after a second.
    StoreDown,          ///< The store doesn't answer for 20 s.
    StoreSlow,          ///< The store takes 600 ms an answer for 20 s.
    AnswerLost,         ///< Writes take effect, their answers are lost, for a second.
    WriteDelayed,       ///< The holder's writes take effect 8 s late, and the holder dies.
    LinkSilent,         ///< The link of holder and gate goes silent for good.
    LinkCut,            ///< The link of holder and gate breaks.
    OrderDelayed,       ///< What the holder sent to the gate arrives 15 s late, and the holder dies.
    OrderLate,          ///< What the holder sent to the gate arrives 4 s late, after a takeover, and the holder dies.
    GateCutOff,         ///< The gate is reached by the holder alone, for 8 s.
    AnswerDoubled,      ///< What gates say arrives twice, the second time late, for 10 s.
    ToolHangs,          ///< Calls at the backend server make no progress any more.
    EngineIgnoresOrders ///< The engine ignores cancels, and the first orders to free memory.
};

/** A step with its name. */
struct NamedStep
{
    MatrixStep step;       ///< Which.
    std::string_view name; ///< For test names.
};

/** One fault or two at once, with their name. */
struct NamedFaults
{
    MatrixFault first;     ///< Strikes at the step.
    MatrixFault second;    ///< Strikes 20 ms later; equal to `first` if there is only one.
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
