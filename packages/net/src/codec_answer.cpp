#include "codec_func.h"

namespace Vanillahall {

void encode(const ProgramAccepted &in, Wire::ProgramAccepted &out)
{
    encode(in.program, *out.mutable_program());
}

bool decode(const Wire::ProgramAccepted &in, ProgramAccepted &out, Error &reason)
{
    return decode(in.program(), out.program, reason);
}

void encode(const TurnView &in, Wire::TurnView &out)
{
    encode(in.key, *out.mutable_key());
    out.set_state(static_cast<Wire::TurnState>(in.state));
    encode(in.input, *out.mutable_input());
    if (in.outcome) {
        encode(*in.outcome, *out.mutable_outcome());
    }
    out.set_server(in.server.text);
    out.set_attempt(in.attempt.value);
    out.set_began(in.began.time_since_epoch().count());
    out.set_ended(in.ended.time_since_epoch().count());
    out.set_durable(in.durable);
}

bool decode(const Wire::TurnView &in, TurnView &out, Error &reason)
{
    out.server.text = in.server();
    out.attempt.value = in.attempt();
    out.began = WallTime(std::chrono::milliseconds(in.began()));
    out.ended = WallTime(std::chrono::milliseconds(in.ended()));
    out.durable = in.durable();
    return decode(in.key(), out.key, reason) && decodeEnum(in.state(), Wire::TurnState_IsValid, out.state, "TurnView.state", reason)
        && decode(in.input(), out.input, reason) && (!in.has_outcome() || decode(in.outcome(), out.outcome.emplace(), reason));
}

void encode(const ProgramView &in, Wire::ProgramView &out)
{
    encode(in.program, *out.mutable_program());
    encode(in.parent, *out.mutable_parent());
    out.set_customer(in.customer.text);
    out.set_class_name(in.className.text);
    encode(in.budget, *out.mutable_budget());
    encode(in.spent, *out.mutable_spent());
    out.set_began(in.began.time_since_epoch().count());
    out.set_deadline(in.deadline.time_since_epoch().count());
    out.set_ended(in.ended);
    out.set_last_turn(in.lastTurn.value);
    out.set_holder(in.holder.text);
}

bool decode(const Wire::ProgramView &in, ProgramView &out, Error &reason)
{
    out.customer.text = in.customer();
    out.className.text = in.class_name();
    out.began = WallTime(std::chrono::milliseconds(in.began()));
    out.deadline = WallTime(std::chrono::milliseconds(in.deadline()));
    out.ended = in.ended();
    out.lastTurn.value = in.last_turn();
    out.holder.text = in.holder();
    return decode(in.program(), out.program, reason) && decode(in.parent(), out.parent, reason) && decode(in.budget(), out.budget, reason)
        && decode(in.spent(), out.spent, reason);
}

void encode(const HistoryView &in, Wire::HistoryView &out)
{
    encode(in.program, *out.mutable_program());
    encodeAll(in.turns, *out.mutable_turns());
}

bool decode(const Wire::HistoryView &in, HistoryView &out, Error &reason)
{
    return decode(in.program(), out.program, reason) && decodeAll(in.turns(), out.turns, reason);
}

void encode(const ProgramEndAccepted &in, Wire::ProgramEndAccepted &out)
{
    encode(in.program, *out.mutable_program());
}

bool decode(const Wire::ProgramEndAccepted &in, ProgramEndAccepted &out, Error &reason)
{
    return decode(in.program(), out.program, reason);
}

void encode(const OutcomeAccepted &in, Wire::OutcomeAccepted &out)
{
    encode(in.key, *out.mutable_key());
}

bool decode(const Wire::OutcomeAccepted &in, OutcomeAccepted &out, Error &reason)
{
    return decode(in.key(), out.key, reason);
}

void encode(const CallAnswered &in, Wire::CallAnswered &out)
{
    encode(in.key, *out.mutable_key());
    encode(in.input, *out.mutable_input());
    encode(in.outcome, *out.mutable_outcome());
    out.set_server(in.server.text);
    out.set_attempt(in.attempt.value);
    out.set_replayed(in.replayed);
}

bool decode(const Wire::CallAnswered &in, CallAnswered &out, Error &reason)
{
    out.server.text = in.server();
    out.attempt.value = in.attempt();
    out.replayed = in.replayed();
    return decode(in.key(), out.key, reason) && decode(in.input(), out.input, reason) && decode(in.outcome(), out.outcome, reason);
}

} // namespace Vanillahall
