/** Numbered log events. docs/EVENTS.md is their catalogue. */
#pragma once

#include "vanillahall/core/id_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Vanillahall {

/** Every event that can be logged. A number is never reused for another event. */
enum class EventNumber : std::uint16_t {
    ProcessStarted = 1001,     ///< The process is ready.
    StopBegun = 1002,          ///< A planned stop has begun.
    StopDone = 1003,           ///< A planned stop has ended.
    SettingsFault = 1004,      ///< A setting is invalid; the process does not start.
    SettingsReloaded = 1005,   ///< A changed settings file was loaded and is in effect.
    LinesLeftOut = 1006,       ///< Log lines were dropped because the log was not read fast enough.
    StopLimitReached = 1007,   ///< Requests still in progress at the limit of a planned stop are ended.
    RequestRefused = 1101,     ///< A caller's request was refused.
    RequestEnded = 1102,       ///< A forwarded request has ended.
    AttemptFailed = 1103,      ///< An attempt of a forwarded request at one server failed.
    TokensReserved = 1104,     ///< A write of a program's token row has ended.
    TurnKept = 1105,           ///< A write of a turn of a stored conversation to the store has succeeded or failed.
    ConversationRead = 1106,   ///< The look-up of the conversation before a turn has succeeded or failed.
    AttemptAbandoned = 1107,   ///< An attempt of a forwarded request has ended for the proxy while its server may still run it.
    CustomerChanged = 1108,    ///< The API key of a waiting request was moved to another customer, or removed.
    PermitRefused = 1121,      ///< Requests of a customer were refused because of its rate limit.
    GrantorUnanswered = 1122,  ///< The grantor of a customer's permits didn't answer.
    PermitAskInvalid = 1123,   ///< Another proxy has asked for permits with a message that can't be read.
    OutageTokens = 1131,       ///< The owner of a program was asked for tokens, or to close the second share of its budget.
    OwnersChanged = 1132,      ///< The partitions of programs that this proxy owns have changed, or a write of their rows has failed.
    ProgramBegun = 1201,       ///< A program was created.
    ProgramDone = 1202,        ///< A program was ended.
    TurnOrdered = 1301,        ///< A turn was ordered from a gate.
    TurnDone = 1302,           ///< A turn has ended.
    TurnRetried = 1303,        ///< A turn was ordered again.
    OutcomeUnknown = 1304,     ///< The outcome of a non-repeatable call can't be determined.
    LeaseTaken = 1401,         ///< A shard's lease was taken.
    LeaseLost = 1402,          ///< A shard's lease was lost.
    LeaseExtended = 1403,      ///< A lease is extended by promises while the store is unavailable.
    ShardLoaded = 1404,        ///< A shard was loaded after a takeover.
    ShardHandedOver = 1405,    ///< A shard was handed over.
    ServerChanged = 1503,      ///< A backend server was added to the list, is draining or was removed.
    DependencyLost = 1504,     ///< A dependency of the process has failed.
    ServerLimited = 1505,      ///< A backend server has named a rate limit, changed it, or names none any more.
    ServerLeaving = 1506,      ///< A backend server has stated in an answer that it is leaving.
    ServerEnded = 1507,        ///< A backend server has ended while it may have been running abandoned attempts.
    StoreAway = 1501,          ///< The platform's store is unavailable.
    StoreBack = 1502,          ///< The platform's store is available again.
    OrderRefused = 1601,       ///< A gate refused an order.
    OrderFenced = 1602,        ///< A gate refused an order because of its fencing number or its period of validity.
    ServerAway = 1603,         ///< The backend server of a gate doesn't respond.
    ServerBack = 1604,         ///< The backend server of a gate responds again.
    MemoryReleased = 1605,     ///< Engine memory of a program was released.
    LinkLost = 1701,           ///< A connection to a peer was lost.
    ConfigInForce = 1801,      ///< A new version of the configuration is in effect.
    ConfigRefused = 1802,      ///< A change of the configuration was refused.
    ConfigUncertain = 1803,    ///< Requests are refused because the configuration may not be the newest one.
    ContentQuarantined = 1901, ///< Content that crashes backend servers was quarantined.
    ClientsClosed = 1902,      ///< Connections of clients were closed, or their requests refused, to release memory or descriptors.
    OperatorRefused = 1903,    ///< A request to the operators' listener came without permission.
    SaturationChanged = 2001,  ///< The servers of a service can't take more work, or can again.
    ProgramRefused = 2002,     ///< A program was refused because of overload.
    ProgramLooping = 2003,     ///< A program makes far more turns than others of its route.
};

/** Severity of a log line. */
enum class LogLevel : std::uint8_t {
    Info,    ///< Normal operation.
    Warning, ///< A fault that the process handles by itself.
    Error,   ///< A fault that requires an operator.
};

/** Action that writes one line to the log. */
struct WriteLog
{
    LogLevel level = LogLevel::Info;                 ///< Severity.
    EventNumber event = EventNumber::ProcessStarted; ///< The event.
    std::optional<CallKey> call;                     ///< Program and turn; turn 0 means the whole program.
    std::string peer;                                ///< The peer concerned, if any.
    std::string text;                                ///< Human-readable details; contains no secrets.
};

} // namespace Vanillahall
