/** Numbered log events. docs/EVENTS.md is their catalogue. */
#pragma once

#include "vanillahall/core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Vanillahall {

/** Every event that can be logged. Numbers are never used again for another event. */
enum class EventNumber : std::uint16_t {
    ProcessStarted = 1001,     ///< The process is ready.
    StopBegun = 1002,          ///< A planned stop has begun.
    StopDone = 1003,           ///< A planned stop has finished.
    SettingsFault = 1004,      ///< A setting is wrong; nothing starts.
    SettingsReloaded = 1005,   ///< A changed settings file is in force.
    LinesLeftOut = 1006,       ///< Log lines were left out because nobody read the log fast enough.
    RequestRefused = 1101,     ///< A caller's request was refused.
    RequestEnded = 1102,       ///< A forwarded request has ended.
    AttemptFailed = 1103,      ///< An attempt of a forwarded request at one server failed.
    TokensReserved = 1104,     ///< A write of a program's token row has ended.
    TurnKept = 1105,           ///< A turn of a kept conversation was written to the store, or not.
    ConversationRead = 1106,   ///< The conversation before a turn was found, or not.
    ProgramBegun = 1201,       ///< A program was created.
    ProgramDone = 1202,        ///< A program was ended.
    TurnOrdered = 1301,        ///< A turn was ordered from a gate.
    TurnDone = 1302,           ///< A turn has ended.
    TurnRetried = 1303,        ///< A turn is ordered again.
    OutcomeUnknown = 1304,     ///< The outcome of a non-repeatable call can't be learnt.
    LeaseTaken = 1401,         ///< A shard's lease was taken.
    LeaseLost = 1402,          ///< A shard's lease was lost.
    LeaseExtended = 1403,      ///< A lease lives on promises while the store is away.
    ShardLoaded = 1404,        ///< A shard was loaded after a takeover.
    ShardHandedOver = 1405,    ///< A shard was handed over.
    ServerChanged = 1503,      ///< The list of backend servers has a new, draining or vanished one.
    DependencyLost = 1504,     ///< Something the process depends on failed.
    StoreAway = 1501,          ///< The platform's store doesn't answer.
    StoreBack = 1502,          ///< The platform's store answers again.
    OrderRefused = 1601,       ///< A gate refused an order.
    OrderFenced = 1602,        ///< A gate refused an order by its fencing number or validity.
    ServerAway = 1603,         ///< A gate's backend server doesn't answer.
    ServerBack = 1604,         ///< A gate's backend server answers again.
    MemoryReleased = 1605,     ///< Engine memory of a program was released.
    LinkLost = 1701,           ///< A connection to a peer was lost.
    ConfigInForce = 1801,      ///< A new configuration version is in force.
    ConfigRefused = 1802,      ///< A change of the configuration was refused.
    ContentQuarantined = 1901, ///< Content that crashes backend servers was put under quarantine.
};

/** How serious a log line is. */
enum class LogLevel : std::uint8_t {
    Info,    ///< Ordinary work.
    Warning, ///< Works around a fault.
    Error,   ///< Needs an operator.
};

/** Write one line to the log. */
struct WriteLog
{
    LogLevel level = LogLevel::Info;                 ///< How serious.
    EventNumber event = EventNumber::ProcessStarted; ///< Which event.
    std::optional<CallKey> call;                     ///< Program and turn; turn 0 means the whole program.
    std::string peer;                                ///< The peer concerned, if any.
    std::string text;                                ///< Details for a person; holds no secret.
};

} // namespace Vanillahall
