#include "codec_func.h"

namespace Vanillahall {

void encode(const CallStarted &in, Wire::CallStarted &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
}

bool decode(const Wire::CallStarted &in, CallStarted &out, Error &reason)
{
    out.attempt.value = in.attempt();
    return decode(in.key(), out.key, reason);
}

void encode(const CallTokens &in, Wire::CallTokens &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    out.set_first_token(in.firstToken);
    encodeTexts(in.pieces, *out.mutable_pieces());
}

bool decode(const Wire::CallTokens &in, CallTokens &out, Error &reason)
{
    out.attempt.value = in.attempt();
    out.firstToken = in.first_token();
    decodeTexts(in.pieces(), out.pieces);
    return decode(in.key(), out.key, reason);
}

void encode(const CallFinished &in, Wire::CallFinished &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.outcome, *out.mutable_outcome());
}

bool decode(const Wire::CallFinished &in, CallFinished &out, Error &reason)
{
    out.attempt.value = in.attempt();
    return decode(in.key(), out.key, reason) && decode(in.outcome(), out.outcome, reason);
}

void encode(const CallRefused &in, Wire::CallRefused &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.error, *out.mutable_error());
}

bool decode(const Wire::CallRefused &in, CallRefused &out, Error &reason)
{
    out.attempt.value = in.attempt();
    return decode(in.key(), out.key, reason) && decode(in.error(), out.error, reason);
}

void encode(const HeldCall &in, Wire::HeldCall &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.content, *out.mutable_content());
    out.set_state(static_cast<Wire::HeldState>(in.state));
    if (in.input) {
        encode(*in.input, *out.mutable_input());
    }
    out.set_began(in.began.time_since_epoch().count());
}

bool decode(const Wire::HeldCall &in, HeldCall &out, Error &reason)
{
    out.attempt.value = in.attempt();
    out.began = WallTime(std::chrono::milliseconds(in.began()));
    if (in.has_input() && !decode(in.input(), out.input.emplace(), reason)) {
        return false;
    }
    return decode(in.key(), out.key, reason) && decode(in.content(), out.content, reason)
        && decodeEnum(in.state(), Wire::HeldState_IsValid, out.state, "HeldCall.state", reason);
}

void encode(const ShardAdopted &in, Wire::ShardAdopted &out)
{
    out.set_shard(in.shard.value);
    out.set_epoch(in.epoch.value);
    encodeAll(in.calls, *out.mutable_calls());
    encodeAll(in.programs, *out.mutable_programs());
}

bool decode(const Wire::ShardAdopted &in, ShardAdopted &out, Error &reason)
{
    out.shard.value = in.shard();
    out.epoch.value = in.epoch();
    return decodeAll(in.calls(), out.calls, reason) && decodeAll(in.programs(), out.programs, reason);
}

void encode(const PinnedPrograms &in, Wire::PinnedPrograms &out)
{
    out.set_shard(in.shard.value);
    encodeAll(in.programs, *out.mutable_programs());
}

bool decode(const Wire::PinnedPrograms &in, PinnedPrograms &out, Error &reason)
{
    out.shard.value = in.shard();
    return decodeAll(in.programs(), out.programs, reason);
}

void encode(const GateStatus &in, Wire::GateStatus &out)
{
    out.set_sequence(in.sequence);
    out.set_server(in.server.text);
    out.set_zone(in.zone.text);
    out.set_incarnation(in.incarnation.value);
    out.set_clock(in.clock.time_since_epoch().count());
    out.set_kind(static_cast<Wire::PoolKind>(in.kind));
    encodeNames(in.models, *out.mutable_models());
    out.set_service(in.service.text);
    out.set_config(in.config.value);
    out.set_leaving(in.leaving);
    out.set_server_up(in.serverUp);
    out.set_waiting(in.waiting);
    out.set_running(in.running);
    out.set_slots(in.slots);
    out.set_expected_wait(in.expectedWait.count());
    out.set_token_interval(in.tokenInterval.count());
    out.set_prefill_per_token(in.prefillPerToken.count());
    out.set_cache_tokens(in.cacheTokens);
    out.set_cache_capacity(in.cacheCapacity);
}

bool decode(const Wire::GateStatus &in, GateStatus &out, Error &reason)
{
    out.sequence = in.sequence();
    out.server.text = in.server();
    out.zone.text = in.zone();
    out.incarnation.value = in.incarnation();
    out.clock = GateTime(Duration(in.clock()));
    decodeNames(in.models(), out.models);
    out.service.text = in.service();
    out.config.value = in.config();
    out.leaving = in.leaving();
    out.serverUp = in.server_up();
    out.waiting = in.waiting();
    out.running = in.running();
    out.slots = in.slots();
    out.expectedWait = Duration(in.expected_wait());
    out.tokenInterval = Duration(in.token_interval());
    out.prefillPerToken = Duration(in.prefill_per_token());
    out.cacheTokens = in.cache_tokens();
    out.cacheCapacity = in.cache_capacity();
    return decodeEnum(in.kind(), Wire::PoolKind_IsValid, out.kind, "GateStatus.kind", reason);
}

} // namespace Vanillahall
