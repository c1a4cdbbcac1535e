#include "codec_func.h"

namespace Vanillahall {

void encode(const ForwardRequest &in, Wire::ForwardRequest &out)
{
    out.set_request(in.request.value);
    out.set_customer(in.customer.text);
    out.set_stream(in.stream);
    std::visit(Overloaded{[&](const CreateProgram &it) {
                              encode(it, *out.mutable_create());
                          },
                          [&](const SubmitCall &it) {
                              encode(it, *out.mutable_submit());
                          },
                          [&](const EndCommand &it) {
                              encode(it, *out.mutable_end());
                          },
                          [&](const TurnQuery &it) {
                              encode(it, *out.mutable_turn());
                          },
                          [&](const ProgramQuery &it) {
                              encode(it, *out.mutable_program());
                          },
                          [&](const HistoryQuery &it) {
                              encode(it, *out.mutable_history());
                          },
                          [&](const SettleOutcome &it) {
                              encode(it, *out.mutable_settle());
                          }},
               in.body);
}

bool decode(const Wire::ForwardRequest &in, ForwardRequest &out, Error &reason)
{
    out.request.value = in.request();
    out.customer.text = in.customer();
    out.stream = in.stream();
    switch (in.body_case()) {
    case Wire::ForwardRequest::kCreate:
        return decode(in.create(), out.body.emplace<CreateProgram>(), reason);
    case Wire::ForwardRequest::kSubmit:
        return decode(in.submit(), out.body.emplace<SubmitCall>(), reason);
    case Wire::ForwardRequest::kEnd:
        return decode(in.end(), out.body.emplace<EndCommand>(), reason);
    case Wire::ForwardRequest::kTurn:
        return decode(in.turn(), out.body.emplace<TurnQuery>(), reason);
    case Wire::ForwardRequest::kProgram:
        return decode(in.program(), out.body.emplace<ProgramQuery>(), reason);
    case Wire::ForwardRequest::kHistory:
        return decode(in.history(), out.body.emplace<HistoryQuery>(), reason);
    case Wire::ForwardRequest::kSettle:
        return decode(in.settle(), out.body.emplace<SettleOutcome>(), reason);
    default:
        return failMissing("ForwardRequest.body", reason);
    }
}

void encode(const ForwardCancel &in, Wire::ForwardCancel &out)
{
    out.set_request(in.request.value);
}

bool decode(const Wire::ForwardCancel &in, ForwardCancel &out, Error &)
{
    out.request.value = in.request();
    return true;
}

void encode(const ForwardTokens &in, Wire::ForwardTokens &out)
{
    out.set_request(in.request.value);
    out.set_first_token(in.firstToken);
    encodeTexts(in.pieces, *out.mutable_pieces());
}

bool decode(const Wire::ForwardTokens &in, ForwardTokens &out, Error &)
{
    out.request.value = in.request();
    out.firstToken = in.first_token();
    decodeTexts(in.pieces(), out.pieces);
    return true;
}

void encode(const ForwardAnswer &in, Wire::ForwardAnswer &out)
{
    out.set_request(in.request.value);
    std::visit(Overloaded{[&](const ProgramAccepted &it) {
                              encode(it, *out.mutable_accepted());
                          },
                          [&](const CallAnswered &it) {
                              encode(it, *out.mutable_answered());
                          },
                          [&](const ProgramEndAccepted &it) {
                              encode(it, *out.mutable_ended());
                          },
                          [&](const TurnView &it) {
                              encode(it, *out.mutable_turn());
                          },
                          [&](const ProgramView &it) {
                              encode(it, *out.mutable_program());
                          },
                          [&](const HistoryView &it) {
                              encode(it, *out.mutable_history());
                          },
                          [&](const OutcomeAccepted &it) {
                              encode(it, *out.mutable_settled());
                          },
                          [&](const Error &it) {
                              encode(it, *out.mutable_error());
                          }},
               in.body);
}

bool decode(const Wire::ForwardAnswer &in, ForwardAnswer &out, Error &reason)
{
    out.request.value = in.request();
    switch (in.body_case()) {
    case Wire::ForwardAnswer::kAccepted:
        return decode(in.accepted(), out.body.emplace<ProgramAccepted>(), reason);
    case Wire::ForwardAnswer::kAnswered:
        return decode(in.answered(), out.body.emplace<CallAnswered>(), reason);
    case Wire::ForwardAnswer::kEnded:
        return decode(in.ended(), out.body.emplace<ProgramEndAccepted>(), reason);
    case Wire::ForwardAnswer::kTurn:
        return decode(in.turn(), out.body.emplace<TurnView>(), reason);
    case Wire::ForwardAnswer::kProgram:
        return decode(in.program(), out.body.emplace<ProgramView>(), reason);
    case Wire::ForwardAnswer::kHistory:
        return decode(in.history(), out.body.emplace<HistoryView>(), reason);
    case Wire::ForwardAnswer::kSettled:
        return decode(in.settled(), out.body.emplace<OutcomeAccepted>(), reason);
    case Wire::ForwardAnswer::kError:
        return decode(in.error(), out.body.emplace<Error>(), reason);
    default:
        return failMissing("ForwardAnswer.body", reason);
    }
}

void encode(const PromiseRequest &in, Wire::PromiseRequest &out)
{
    out.set_shard(in.shard.value);
    out.set_epoch(in.epoch.value);
    out.set_sequence(in.sequence);
}

bool decode(const Wire::PromiseRequest &in, PromiseRequest &out, Error &)
{
    out.shard.value = in.shard();
    out.epoch.value = in.epoch();
    out.sequence = in.sequence();
    return true;
}

void encode(const PromiseAnswer &in, Wire::PromiseAnswer &out)
{
    out.set_shard(in.shard.value);
    out.set_epoch(in.epoch.value);
    out.set_sequence(in.sequence);
    out.set_granted(in.granted);
}

bool decode(const Wire::PromiseAnswer &in, PromiseAnswer &out, Error &)
{
    out.shard.value = in.shard();
    out.epoch.value = in.epoch();
    out.sequence = in.sequence();
    out.granted = in.granted();
    return true;
}

void encode(const HeldLease &in, Wire::HeldLease &out)
{
    out.set_shard(in.shard.value);
    out.set_epoch(in.epoch.value);
    out.set_version(in.version.value);
    encodeNames(in.successors, *out.mutable_successors());
}

bool decode(const Wire::HeldLease &in, HeldLease &out, Error &)
{
    out.shard.value = in.shard();
    out.epoch.value = in.epoch();
    out.version.value = in.version();
    decodeNames(in.successors(), out.successors);
    return true;
}

void encode(const EntryStatus &in, Wire::EntryStatus &out)
{
    out.set_entry(in.entry.text);
    out.set_zone(in.zone.text);
    out.set_incarnation(in.incarnation.value);
    out.set_config(in.config.value);
    out.set_leaving(in.leaving);
    encodeAll(in.leases, *out.mutable_leases());
}

bool decode(const Wire::EntryStatus &in, EntryStatus &out, Error &reason)
{
    out.entry.text = in.entry();
    out.zone.text = in.zone();
    out.incarnation.value = in.incarnation();
    out.config.value = in.config();
    out.leaving = in.leaving();
    return decodeAll(in.leases(), out.leases, reason);
}

void encode(const TurnFinished &in, Wire::TurnFinished &out)
{
    encode(in.key, *out.mutable_key());
    encode(in.content, *out.mutable_content());
    encode(in.input, *out.mutable_input());
    encode(in.outcome, *out.mutable_outcome());
    out.set_server(in.server.text);
    out.set_attempt(in.attempt.value);
    out.set_began(in.began.time_since_epoch().count());
    out.set_ended(in.ended.time_since_epoch().count());
    out.set_spent_tokens(in.spentTokens);
}

bool decode(const Wire::TurnFinished &in, TurnFinished &out, Error &reason)
{
    out.server.text = in.server();
    out.attempt.value = in.attempt();
    out.began = WallTime(std::chrono::milliseconds(in.began()));
    out.ended = WallTime(std::chrono::milliseconds(in.ended()));
    out.spentTokens = in.spent_tokens();
    return decode(in.key(), out.key, reason) && decode(in.content(), out.content, reason) && decode(in.input(), out.input, reason)
        && decode(in.outcome(), out.outcome, reason);
}

void encode(const UnstoredTurns &in, Wire::UnstoredTurns &out)
{
    out.set_shard(in.shard.value);
    encodeAll(in.turns, *out.mutable_turns());
}

bool decode(const Wire::UnstoredTurns &in, UnstoredTurns &out, Error &reason)
{
    out.shard.value = in.shard();
    return decodeAll(in.turns(), out.turns, reason);
}

void encode(const TurnsKept &in, Wire::TurnsKept &out)
{
    out.set_shard(in.shard.value);
    encodeAll(in.turns, *out.mutable_turns());
}

bool decode(const Wire::TurnsKept &in, TurnsKept &out, Error &reason)
{
    out.shard.value = in.shard();
    return decodeAll(in.turns(), out.turns, reason);
}

} // namespace Vanillahall
