/** Events that an entry handles and actions that it returns. */
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

/** An authenticated caller sent a request. */
struct CallerRequestReceived
{
    RequestId request;      ///< Unique within the process.
    CustomerName customer;  ///< The caller's customer.
    bool stream{};          ///< True if the caller wants tokens streamed.
    CallerRequest body;     ///< The request.
    std::uint64_t random{}; ///< Random number, used as the serial of a new program.
};

/** The caller disconnected before it was answered. */
struct CallerDisconnected
{
    RequestId request; ///< Its request.
};

/** A gate sent a message. */
struct GateMessageReceived
{
    ServerName server;   ///< Which gate.
    GateToEntry message; ///< What it sent.
};

/** The connection to a gate was lost or could not be established. Messages in flight may be lost. */
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

/** The connection to another entry was lost or could not be established. */
struct EntryLinkLost
{
    EntryName entry; ///< Which entry.
};

/** The platform's store replied, or the request timed out. */
struct StoreReplyReceived
{
    StoreRequestId request; ///< Which request.
    StoreAnswer answer;     ///< Its reply, or an error.
};

/** The platform's VM list was read. */
struct VmListReceived
{
    std::vector<VmListing> vms; ///< The whole list; may be stale.
};

/** This process accepted a change of the configuration, which is then read at once instead of at the next poll. */
struct ConfigChanged
{
    ConfigVersion version; ///< The new version.
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

/** Send a message to a gate, connecting first if necessary. GateLinkLost follows if that fails. */
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

/** Send a message to another entry, connecting first if necessary. EntryLinkLost follows if that fails. */
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

/** Send a request to the platform's store. StoreReplyReceived with the same number always follows. */
struct SendStoreRequest
{
    StoreRequestId request; ///< Unique within the process.
    StoreRequest body;      ///< The request.
    Duration timeLimit{};   ///< Time-out of the request.
};

/** Send tokens to a caller that requested a stream. */
struct StreamToCaller
{
    RequestId request;               ///< The caller's request.
    CallKey key;                     ///< Which turn.
    std::uint32_t firstToken{};      ///< Index of the first token in `pieces`.
    std::vector<std::string> pieces; ///< Text of each token.
};

/** Send a caller its final answer. */
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
