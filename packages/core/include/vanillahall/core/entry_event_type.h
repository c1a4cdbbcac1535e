/** What an entry is told, and what it asks to be done. */
#pragma once

#include "vanillahall/core/caller_type.h"
#include "vanillahall/core/log_type.h"
#include "vanillahall/core/message_type.h"
#include "vanillahall/core/process_type.h"
#include "vanillahall/core/store_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Vanillahall {

// Events.

/** An authenticated caller asks something. */
struct CallerRequestReceived
{
    RequestId request;      ///< Unique within the process.
    CustomerName customer;  ///< Who asks.
    bool stream{};          ///< True if tokens are wanted as they come.
    CallerRequest body;     ///< What is asked.
    std::uint64_t random{}; ///< Fresh random number, used as serial of a new program.
};

/** The caller has gone before its answer. */
struct CallerDisconnected
{
    RequestId request; ///< The request that nobody waits for any more.
};

/** A gate sent a message. */
struct GateMessageReceived
{
    ServerName server;   ///< Which gate.
    GateToEntry message; ///< What it sent.
};

/** The connection to a gate is lost, or could not be made. Every message in flight may be lost. */
struct GateLinkLost
{
    ServerName server; ///< Which gate.
};

/** Another entry sent a message. */
struct EntryMessageReceived
{
    EntryName entry;      ///< Which entry.
    EntryToEntry message; ///< What it sent.
};

/** The connection to another entry is lost, or could not be made. */
struct EntryLinkLost
{
    EntryName entry; ///< Which entry.
};

/** The platform's store answered, or its time limit passed. */
struct StoreReplyReceived
{
    StoreRequestId request; ///< Which request.
    StoreAnswer answer;     ///< What it gave.
};

/** The platform's VM list was read. */
struct VmListReceived
{
    std::vector<VmListing> vms; ///< All of it; may be old.
};

/** A change of the configuration was accepted through this process. It is read at once, not with the next poll. */
struct ConfigChanged
{
    ConfigVersion version; ///< The version that it made.
};

using EntryEvent = std::variant<CallerRequestReceived,
                                CallerDisconnected,
                                GateMessageReceived,
                                GateLinkLost,
                                EntryMessageReceived,
                                EntryLinkLost,
                                StoreReplyReceived,
                                VmListReceived,
                                ConfigChanged,
                                StopRequested,
                                Tick>;

// Actions.

/** Send a message to a gate; connects first if need be. Answered by GateLinkLost if that fails. */
struct SendToGate
{
    ServerName server;   ///< Which gate.
    std::string address; ///< "ip:port".
    EntryToGate message; ///< What to send.
};

/** Close the connection to a gate. */
struct CloseGateLink
{
    ServerName server; ///< Which gate.
};

/** Send a message to another entry; connects first if need be. Answered by EntryLinkLost if that fails. */
struct SendToEntry
{
    EntryName entry;      ///< Which entry.
    std::string address;  ///< "ip:port"; empty to answer on the connection that the entry opened.
    EntryToEntry message; ///< What to send.
};

/** Close the connection to another entry, whoever opened it. */
struct CloseEntryLink
{
    EntryName entry; ///< Which entry.
};

/** Ask the platform's store. Always answered by StoreReplyReceived with the same number. */
struct SendStoreRequest
{
    StoreRequestId request; ///< Unique within the process.
    StoreRequest body;      ///< What to ask.
    Duration timeLimit{};   ///< When to give up.
};

/** Pass tokens on to a caller that asked for a stream. */
struct StreamToCaller
{
    RequestId request;               ///< The caller's request.
    CallKey key;                     ///< Which turn.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** Give a caller its final answer. */
struct ReplyToCaller
{
    RequestId request; ///< The caller's request.
    CallerAnswer body; ///< The answer.
};

using EntryAction = std::variant<SendToGate,
                                 CloseGateLink,
                                 SendToEntry,
                                 CloseEntryLink,
                                 SendStoreRequest,
                                 StreamToCaller,
                                 ReplyToCaller,
                                 WriteLog,
                                 StopFinished>;

} // namespace Vanillahall
