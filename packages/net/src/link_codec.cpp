#include "link_codec.h"

#include "codec_func.h"

#include <limits>

namespace Vanillahall {

namespace {

void encodeGroup(const EntryToGate &in, Wire::LinkMessage &out)
{
    std::visit(Overloaded{[&](const RunCall &it) {
                              encode(it, *out.mutable_run_call());
                          },
                          [&](const FetchCall &it) {
                              encode(it, *out.mutable_fetch_call());
                          },
                          [&](const CancelCall &it) {
                              encode(it, *out.mutable_cancel_call());
                          },
                          [&](const SettleCalls &it) {
                              encode(it, *out.mutable_settle_calls());
                          },
                          [&](const EndProgram &it) {
                              encode(it, *out.mutable_end_program());
                          },
                          [&](const AdoptShard &it) {
                              encode(it, *out.mutable_adopt_shard());
                          },
                          [&](const ConfigUpdate &it) {
                              encode(it, *out.mutable_config_update());
                          },
                          [&](const Probe &it) {
                              encode(it, *out.mutable_probe());
                          }},
               in);
}

void encodeGroup(const GateToEntry &in, Wire::LinkMessage &out)
{
    std::visit(Overloaded{[&](const CallStarted &it) {
                              encode(it, *out.mutable_call_started());
                          },
                          [&](const CallTokens &it) {
                              encode(it, *out.mutable_call_tokens());
                          },
                          [&](const CallFinished &it) {
                              encode(it, *out.mutable_call_finished());
                          },
                          [&](const CallRefused &it) {
                              encode(it, *out.mutable_call_refused());
                          },
                          [&](const ShardAdopted &it) {
                              encode(it, *out.mutable_shard_adopted());
                          },
                          [&](const PinnedPrograms &it) {
                              encode(it, *out.mutable_pinned_programs());
                          },
                          [&](const GateStatus &it) {
                              encode(it, *out.mutable_gate_status());
                          }},
               in);
}

void encodeGroup(const EntryToEntry &in, Wire::LinkMessage &out)
{
    std::visit(Overloaded{[&](const ForwardRequest &it) {
                              encode(it, *out.mutable_forward_request());
                          },
                          [&](const ForwardCancel &it) {
                              encode(it, *out.mutable_forward_cancel());
                          },
                          [&](const ForwardTokens &it) {
                              encode(it, *out.mutable_forward_tokens());
                          },
                          [&](const ForwardAnswer &it) {
                              encode(it, *out.mutable_forward_answer());
                          },
                          [&](const PromiseRequest &it) {
                              encode(it, *out.mutable_promise_request());
                          },
                          [&](const PromiseAnswer &it) {
                              encode(it, *out.mutable_promise_answer());
                          },
                          [&](const EntryStatus &it) {
                              encode(it, *out.mutable_entry_status());
                          },
                          [&](const UnstoredTurns &it) {
                              encode(it, *out.mutable_unstored_turns());
                          },
                          [&](const TurnsKept &it) {
                              encode(it, *out.mutable_turns_kept());
                          }},
               in);
}

template<typename Group, typename Message, typename WireMessage>
bool decodeInto(const WireMessage &in, LinkMessage &out, Error &reason)
{
    return decode(in, out.emplace<Group>().template emplace<Message>(), reason);
}

} // namespace

void encode(const LinkMessage &in, Wire::LinkMessage &out)
{
    std::visit(
        [&out](const auto &group) {
            encodeGroup(group, out);
        },
        in);
}

bool decode(const Wire::LinkMessage &in, LinkMessage &out, Error &reason)
{
    switch (in.message_case()) {
    case Wire::LinkMessage::kRunCall:
        return decodeInto<EntryToGate, RunCall>(in.run_call(), out, reason);
    case Wire::LinkMessage::kFetchCall:
        return decodeInto<EntryToGate, FetchCall>(in.fetch_call(), out, reason);
    case Wire::LinkMessage::kCancelCall:
        return decodeInto<EntryToGate, CancelCall>(in.cancel_call(), out, reason);
    case Wire::LinkMessage::kSettleCalls:
        return decodeInto<EntryToGate, SettleCalls>(in.settle_calls(), out, reason);
    case Wire::LinkMessage::kEndProgram:
        return decodeInto<EntryToGate, EndProgram>(in.end_program(), out, reason);
    case Wire::LinkMessage::kAdoptShard:
        return decodeInto<EntryToGate, AdoptShard>(in.adopt_shard(), out, reason);
    case Wire::LinkMessage::kConfigUpdate:
        return decodeInto<EntryToGate, ConfigUpdate>(in.config_update(), out, reason);
    case Wire::LinkMessage::kProbe:
        return decodeInto<EntryToGate, Probe>(in.probe(), out, reason);
    case Wire::LinkMessage::kCallStarted:
        return decodeInto<GateToEntry, CallStarted>(in.call_started(), out, reason);
    case Wire::LinkMessage::kCallTokens:
        return decodeInto<GateToEntry, CallTokens>(in.call_tokens(), out, reason);
    case Wire::LinkMessage::kCallFinished:
        return decodeInto<GateToEntry, CallFinished>(in.call_finished(), out, reason);
    case Wire::LinkMessage::kCallRefused:
        return decodeInto<GateToEntry, CallRefused>(in.call_refused(), out, reason);
    case Wire::LinkMessage::kShardAdopted:
        return decodeInto<GateToEntry, ShardAdopted>(in.shard_adopted(), out, reason);
    case Wire::LinkMessage::kPinnedPrograms:
        return decodeInto<GateToEntry, PinnedPrograms>(in.pinned_programs(), out, reason);
    case Wire::LinkMessage::kGateStatus:
        return decodeInto<GateToEntry, GateStatus>(in.gate_status(), out, reason);
    case Wire::LinkMessage::kForwardRequest:
        return decodeInto<EntryToEntry, ForwardRequest>(in.forward_request(), out, reason);
    case Wire::LinkMessage::kForwardCancel:
        return decodeInto<EntryToEntry, ForwardCancel>(in.forward_cancel(), out, reason);
    case Wire::LinkMessage::kForwardTokens:
        return decodeInto<EntryToEntry, ForwardTokens>(in.forward_tokens(), out, reason);
    case Wire::LinkMessage::kForwardAnswer:
        return decodeInto<EntryToEntry, ForwardAnswer>(in.forward_answer(), out, reason);
    case Wire::LinkMessage::kPromiseRequest:
        return decodeInto<EntryToEntry, PromiseRequest>(in.promise_request(), out, reason);
    case Wire::LinkMessage::kPromiseAnswer:
        return decodeInto<EntryToEntry, PromiseAnswer>(in.promise_answer(), out, reason);
    case Wire::LinkMessage::kEntryStatus:
        return decodeInto<EntryToEntry, EntryStatus>(in.entry_status(), out, reason);
    case Wire::LinkMessage::kUnstoredTurns:
        return decodeInto<EntryToEntry, UnstoredTurns>(in.unstored_turns(), out, reason);
    case Wire::LinkMessage::kTurnsKept:
        return decodeInto<EntryToEntry, TurnsKept>(in.turns_kept(), out, reason);
    default:
        return failMissing("LinkMessage.message", reason);
    }
}

std::string encodeLinkMessage(const LinkMessage &message)
{
    Wire::LinkMessage wire;
    encode(message, wire);
    return wire.SerializeAsString();
}

std::optional<LinkMessage> decodeLinkMessage(std::string_view bytes, Error &reason)
{
    Wire::LinkMessage wire;
    if (bytes.size() > std::numeric_limits<int>::max() || !wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        reason.code = ErrorCode::BadRequest;
        reason.message = "the bytes are no message";
        return std::nullopt;
    }
    LinkMessage message;
    if (!decode(wire, message, reason)) {
        return std::nullopt;
    }
    return message;
}

} // namespace Vanillahall
