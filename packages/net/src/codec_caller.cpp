#include "codec_func.h"

namespace Vanillahall {

bool failMissing(const char *part, Error &reason)
{
    reason.code = ErrorCode::BadRequest;
    reason.message = std::string(part) + " is missing";
    return false;
}

bool failUnknownValue(const char *part, Error &reason)
{
    reason.code = ErrorCode::BadRequest;
    reason.message = std::string(part) + " has an unknown value";
    return false;
}

void encode(const ProgramId &in, Wire::ProgramId &out)
{
    out.set_shard(in.shard.value);
    out.set_serial(in.serial);
}

bool decode(const Wire::ProgramId &in, ProgramId &out, Error &)
{
    out.shard.value = in.shard();
    out.serial = in.serial();
    return true;
}

void encode(const CallKey &in, Wire::CallKey &out)
{
    encode(in.program, *out.mutable_program());
    out.set_turn(in.turn.value);
}

bool decode(const Wire::CallKey &in, CallKey &out, Error &reason)
{
    out.turn.value = in.turn();
    return decode(in.program(), out.program, reason);
}

void encode(const ContentHash &in, Wire::ContentHash &out)
{
    out.set_high(in.high);
    out.set_low(in.low);
}

bool decode(const Wire::ContentHash &in, ContentHash &out, Error &)
{
    out.high = in.high();
    out.low = in.low();
    return true;
}

void encode(const Error &in, Wire::Error &out)
{
    out.set_code(static_cast<Wire::ErrorCode>(in.code));
    out.set_run(static_cast<Wire::RunState>(in.run));
    out.set_step(static_cast<Wire::Step>(in.step));
    out.set_peer(in.peer);
    out.set_message(in.message);
    if (in.retryAfter) {
        out.set_retry_after(in.retryAfter->count());
    }
}

bool decode(const Wire::Error &in, Error &out, Error &reason)
{
    out.peer = in.peer();
    out.message = in.message();
    if (in.has_retry_after()) {
        out.retryAfter = Duration(in.retry_after());
    }
    return decodeEnum(in.code(), Wire::ErrorCode_IsValid, out.code, "Error.code", reason)
        && decodeEnum(in.run(), Wire::RunState_IsValid, out.run, "Error.run", reason)
        && decodeEnum(in.step(), Wire::Step_IsValid, out.step, "Error.step", reason);
}

void encode(const Budget &in, Wire::Budget &out)
{
    out.set_tokens(in.tokens);
    out.set_calls(in.calls);
    out.set_time_ms(in.time.count());
}

bool decode(const Wire::Budget &in, Budget &out, Error &)
{
    out.tokens = in.tokens();
    out.calls = in.calls();
    out.time = std::chrono::milliseconds(in.time_ms());
    return true;
}

void encode(const ModelInput &in, Wire::ModelInput &out)
{
    out.set_model(in.model.text);
    encodeTexts(in.messages, *out.mutable_messages());
    out.set_max_tokens(in.maxTokens);
}

bool decode(const Wire::ModelInput &in, ModelInput &out, Error &)
{
    out.model.text = in.model();
    decodeTexts(in.messages(), out.messages);
    out.maxTokens = in.max_tokens();
    return true;
}

void encode(const ServiceCall &in, Wire::ServiceCall &out)
{
    out.set_service(in.service.text);
    out.set_operation(in.operation);
    out.set_body(in.body);
    out.set_repeatable(in.repeatable);
}

bool decode(const Wire::ServiceCall &in, ServiceCall &out, Error &)
{
    out.service.text = in.service();
    out.operation = in.operation();
    out.body = in.body();
    out.repeatable = in.repeatable();
    return true;
}

void encode(const CallResult &in, Wire::CallResult &out)
{
    out.set_status(in.status);
    out.set_body(in.body);
    out.set_finish_reason(in.finishReason);
    out.set_prompt_tokens(in.promptTokens);
    out.set_cached_tokens(in.cachedTokens);
    out.set_completion_tokens(in.completionTokens);
    out.set_waited(in.waited.count());
    out.set_prefill(in.prefill.count());
    out.set_decode(in.decode.count());
}

bool decode(const Wire::CallResult &in, CallResult &out, Error &)
{
    out.status = in.status();
    out.body = in.body();
    out.finishReason = in.finish_reason();
    out.promptTokens = in.prompt_tokens();
    out.cachedTokens = in.cached_tokens();
    out.completionTokens = in.completion_tokens();
    out.waited = Duration(in.waited());
    out.prefill = Duration(in.prefill());
    out.decode = Duration(in.decode());
    return true;
}

void encode(const CallInput &in, Wire::CallInput &out)
{
    std::visit(Overloaded{[&](const ModelInput &it) {
                              encode(it, *out.mutable_model());
                          },
                          [&](const ServiceCall &it) {
                              encode(it, *out.mutable_service());
                          }},
               in);
}

bool decode(const Wire::CallInput &in, CallInput &out, Error &reason)
{
    switch (in.input_case()) {
    case Wire::CallInput::kModel:
        return decode(in.model(), out.emplace<ModelInput>(), reason);
    case Wire::CallInput::kService:
        return decode(in.service(), out.emplace<ServiceCall>(), reason);
    default:
        return failMissing("CallInput.input", reason);
    }
}

void encode(const CallOutcome &in, Wire::CallOutcome &out)
{
    std::visit(Overloaded{[&](const CallResult &it) {
                              encode(it, *out.mutable_result());
                          },
                          [&](const Error &it) {
                              encode(it, *out.mutable_error());
                          }},
               in);
}

bool decode(const Wire::CallOutcome &in, CallOutcome &out, Error &reason)
{
    switch (in.outcome_case()) {
    case Wire::CallOutcome::kResult:
        return decode(in.result(), out.emplace<CallResult>(), reason);
    case Wire::CallOutcome::kError:
        return decode(in.error(), out.emplace<Error>(), reason);
    default:
        return failMissing("CallOutcome.outcome", reason);
    }
}

void encode(const CreateProgram &in, Wire::CreateProgram &out)
{
    out.set_class_name(in.className.text);
    encode(in.budget, *out.mutable_budget());
    if (in.parent) {
        encode(*in.parent, *out.mutable_parent());
    }
    encode(in.idempotencyKey, *out.mutable_idempotency_key());
}

bool decode(const Wire::CreateProgram &in, CreateProgram &out, Error &reason)
{
    out.className.text = in.class_name();
    return decode(in.budget(), out.budget, reason) && (!in.has_parent() || decode(in.parent(), out.parent.emplace(), reason))
        && decode(in.idempotency_key(), out.idempotencyKey, reason);
}

void encode(const SubmitCall &in, Wire::SubmitCall &out)
{
    encode(in.key, *out.mutable_key());
    encode(in.input, *out.mutable_input());
    encode(in.content, *out.mutable_content());
}

bool decode(const Wire::SubmitCall &in, SubmitCall &out, Error &reason)
{
    return decode(in.key(), out.key, reason) && decode(in.input(), out.input, reason) && decode(in.content(), out.content, reason);
}

void encode(const EndCommand &in, Wire::EndCommand &out)
{
    encode(in.program, *out.mutable_program());
}

bool decode(const Wire::EndCommand &in, EndCommand &out, Error &reason)
{
    return decode(in.program(), out.program, reason);
}

void encode(const SettleOutcome &in, Wire::SettleOutcome &out)
{
    encode(in.key, *out.mutable_key());
    out.set_ran(in.ran);
    out.set_operator_name(in.operatorName);
}

bool decode(const Wire::SettleOutcome &in, SettleOutcome &out, Error &reason)
{
    out.ran = in.ran();
    out.operatorName = in.operator_name();
    return decode(in.key(), out.key, reason);
}

void encode(const TurnQuery &in, Wire::TurnQuery &out)
{
    encode(in.key, *out.mutable_key());
}

bool decode(const Wire::TurnQuery &in, TurnQuery &out, Error &reason)
{
    return decode(in.key(), out.key, reason);
}

void encode(const ProgramQuery &in, Wire::ProgramQuery &out)
{
    encode(in.program, *out.mutable_program());
}

bool decode(const Wire::ProgramQuery &in, ProgramQuery &out, Error &reason)
{
    return decode(in.program(), out.program, reason);
}

void encode(const HistoryQuery &in, Wire::HistoryQuery &out)
{
    encode(in.program, *out.mutable_program());
}

bool decode(const Wire::HistoryQuery &in, HistoryQuery &out, Error &reason)
{
    return decode(in.program(), out.program, reason);
}

} // namespace Vanillahall
