#include "codec_func.h"

namespace Vanillahall {

void encode(const Fence &in, Wire::Fence &out)
{
    out.set_shard(in.shard.value);
    out.set_epoch(in.epoch.value);
    out.set_incarnation(in.incarnation.value);
    out.set_valid_until(in.validUntil.time_since_epoch().count());
}

bool decode(const Wire::Fence &in, Fence &out, Error &)
{
    out.shard.value = in.shard();
    out.epoch.value = in.epoch();
    out.incarnation.value = in.incarnation();
    out.validUntil = GateTime(Duration(in.valid_until()));
    return true;
}

void encode(const Urgency &in, Wire::Urgency &out)
{
    out.set_deadline(in.deadline.time_since_epoch().count());
    out.set_remaining(in.remaining.count());
    out.set_has_target(in.hasTarget);
}

bool decode(const Wire::Urgency &in, Urgency &out, Error &)
{
    out.deadline = WallTime(std::chrono::milliseconds(in.deadline()));
    out.remaining = Duration(in.remaining());
    out.hasTarget = in.has_target();
    return true;
}

void encode(const ModelCall &in, Wire::ModelCall &out)
{
    out.set_model(in.model.text);
    encodeTexts(in.messages, *out.mutable_messages());
    out.set_prompt_tokens(in.promptTokens);
    out.set_max_tokens(in.maxTokens);
}

bool decode(const Wire::ModelCall &in, ModelCall &out, Error &)
{
    out.model.text = in.model();
    decodeTexts(in.messages(), out.messages);
    out.promptTokens = in.prompt_tokens();
    out.maxTokens = in.max_tokens();
    return true;
}

void encode(const CallBody &in, Wire::CallBody &out)
{
    std::visit(Overloaded{[&](const ModelCall &it) {
                              encode(it, *out.mutable_model());
                          },
                          [&](const ServiceCall &it) {
                              encode(it, *out.mutable_service());
                          }},
               in);
}

bool decode(const Wire::CallBody &in, CallBody &out, Error &reason)
{
    switch (in.body_case()) {
    case Wire::CallBody::kModel:
        return decode(in.model(), out.emplace<ModelCall>(), reason);
    case Wire::CallBody::kService:
        return decode(in.service(), out.emplace<ServiceCall>(), reason);
    default:
        return failMissing("CallBody.body", reason);
    }
}

void encode(const RunCall &in, Wire::RunCall &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.fence, *out.mutable_fence());
    out.set_customer(in.customer.text);
    out.set_class_name(in.className.text);
    encode(in.content, *out.mutable_content());
    encode(in.urgency, *out.mutable_urgency());
    out.set_time_limit(in.timeLimit.count());
    encode(in.body, *out.mutable_body());
    out.set_new_messages(in.newMessages);
    out.set_began(in.began.time_since_epoch().count());
}

bool decode(const Wire::RunCall &in, RunCall &out, Error &reason)
{
    out.attempt.value = in.attempt();
    out.customer.text = in.customer();
    out.className.text = in.class_name();
    out.timeLimit = Duration(in.time_limit());
    out.newMessages = in.new_messages();
    out.began = WallTime(std::chrono::milliseconds(in.began()));
    return decode(in.key(), out.key, reason) && decode(in.fence(), out.fence, reason) && decode(in.content(), out.content, reason)
        && decode(in.urgency(), out.urgency, reason) && decode(in.body(), out.body, reason);
}

void encode(const FetchCall &in, Wire::FetchCall &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.fence, *out.mutable_fence());
    out.set_from_token(in.fromToken);
}

bool decode(const Wire::FetchCall &in, FetchCall &out, Error &reason)
{
    out.attempt.value = in.attempt();
    out.fromToken = in.from_token();
    return decode(in.key(), out.key, reason) && decode(in.fence(), out.fence, reason);
}

void encode(const CancelCall &in, Wire::CancelCall &out)
{
    encode(in.key, *out.mutable_key());
    out.set_attempt(in.attempt.value);
    encode(in.fence, *out.mutable_fence());
}

bool decode(const Wire::CancelCall &in, CancelCall &out, Error &reason)
{
    out.attempt.value = in.attempt();
    return decode(in.key(), out.key, reason) && decode(in.fence(), out.fence, reason);
}

void encode(const SettleCalls &in, Wire::SettleCalls &out)
{
    encode(in.fence, *out.mutable_fence());
    encodeAll(in.keys, *out.mutable_keys());
}

bool decode(const Wire::SettleCalls &in, SettleCalls &out, Error &reason)
{
    return decode(in.fence(), out.fence, reason) && decodeAll(in.keys(), out.keys, reason);
}

void encode(const EndProgram &in, Wire::EndProgram &out)
{
    encode(in.program, *out.mutable_program());
    encode(in.fence, *out.mutable_fence());
}

bool decode(const Wire::EndProgram &in, EndProgram &out, Error &reason)
{
    return decode(in.program(), out.program, reason) && decode(in.fence(), out.fence, reason);
}

void encode(const AdoptShard &in, Wire::AdoptShard &out)
{
    encode(in.fence, *out.mutable_fence());
}

bool decode(const Wire::AdoptShard &in, AdoptShard &out, Error &reason)
{
    return decode(in.fence(), out.fence, reason);
}

void encode(const Probe &in, Wire::Probe &out)
{
    out.set_sequence(in.sequence);
}

bool decode(const Wire::Probe &in, Probe &out, Error &)
{
    out.sequence = in.sequence();
    return true;
}

} // namespace Vanillahall
